import {countBy} from 'es-toolkit';
import {Counter, Gauge} from 'prom-client';
import {type Metrics, type TimerService} from '@fescuewick/core';
import {Condition} from '../placement/backend.js';
import {type Placer} from '../placement/placer.js';
import {followedCollections} from '../state/followed-collections.js';
import {type FleetState} from '../state/fleet-state.js';
import {type RequestHandler} from './request-handler.js';

type GaugeSources = {
	readonly metrics: Metrics;
	readonly placer: Placer;
	readonly handler: RequestHandler;
	readonly state: FleetState;
	readonly timers: TimerService;
};

/** Registers gauges that are computed when metrics are read: backend servers by condition, memory for bodies, unknown values of the configuration, ages of replicas and what they retain, and the era of the store. */
export function registerGauges({metrics: {registry}, placer, handler, state, timers}: GaugeSources): void {
	const registers = [registry];
	const backends = new Gauge({
		name: 'fescuewick_backends',
		help: 'Backend servers by condition as this VM knows it',
		labelNames: ['condition'],
		registers,
		collect() {
			const counts = countBy([...placer.backends], backend => backend.condition(timers.nowMs()));
			for (const condition of Object.values(Condition)) {
				backends.set({condition}, counts[condition] ?? 0);
			}
		},
	});
	const bodies = new Gauge({
		name: 'fescuewick_buffered_body_bytes',
		help: 'Memory reserved for buffered bodies of requests',
		registers,
		collect() {
			bodies.set(handler.bufferedBytes);
		},
	});
	const ages = new Gauge({
		name: 'fescuewick_replica_age_seconds',
		help: 'Time since the collection is known to have been in the state that this VM acts on',
		labelNames: ['collection'],
		registers,
		collect() {
			for (const collection of followedCollections) {
				ages.set({collection}, (timers.nowMs() - state.replicas[collection].confirmedAtMs) / 1000);
			}
		},
	});
	const removed = new Gauge({
		name: 'fescuewick_replica_removed_bytes',
		help: 'Content of removed records that is retained for peers',
		labelNames: ['collection'],
		registers,
		collect() {
			for (const collection of followedCollections) {
				removed.set({collection}, state.replicas[collection].removedBytes);
			}
		},
	});
	const unknownValues = new Gauge({
		name: 'fescuewick_configuration_unknown_values',
		help: 'Values of the configuration in force that this version does not know and reads with the safest meaning',
		registers,
		collect() {
			unknownValues.set(state.configuration?.configuration.unknownValues?.length ?? 0);
		},
	});
	const era = new Gauge({
		name: 'fescuewick_store_era',
		help: 'Highest era of the store that this VM knows of; rises by one when the store is restored from a copy',
		registers,
		collect() {
			era.set(state.storeEra.value);
		},
	});
	const answersWithoutEra = new Counter({
		name: 'fescuewick_store_answers_without_era_total',
		help: 'Answers of the store whose era is missing or cannot be read',
		registers,
		collect() {
			answersWithoutEra.reset();
			answersWithoutEra.inc(state.storeEra.answersWithoutEra);
		},
	});
}
