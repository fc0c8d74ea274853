import Emittery from 'emittery';
import {type Logger, type TimerService} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {ConfigurationIndex, type Configuration} from '../model/configuration.js';
import {BackendState, type BackendRecord} from '../model/records.js';
import {Replica, type RemovedRecord, type ReplicaChange} from './replica.js';

/** Removals within this time count as one event, in milliseconds. */
const removalWindowMs = 1500;
/** From this many removals within the window, entries may have expired while the store was away. */
const minExpiredEntries = 2;
/** How long backend servers whose entries may have expired stay in use, in milliseconds; the platform brings live ones back within about 2 s, and a leaving one may be used for 2.5 s in the deployments so far, of which a VM needs up to half a second to learn of it. */
const expiryHoldMs = 1900;

/** A backend server in use, and when it was first seen in this form. */
export type KnownBackend = {
	readonly record: BackendRecord;
	readonly seenAtMs: number;
};

type FleetStateOptions = {
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Decides whether removals may be expirations rather than departures. */
	readonly mayHaveExpired: () => boolean;
};

/** What this VM believes about configuration, backend servers and evacuations, from its replicas. */
export class FleetState {
	readonly events = new Emittery<{configuration: ConfigurationIndex; backends: undefined; evacuation: {failureDomain: string; isEvacuated: boolean}}>();
	readonly replicas: Readonly<Record<Collection, Replica>>;

	#configuration: ConfigurationIndex | undefined;
	readonly #backends = new Map<string, KnownBackend>();
	#evacuated: ReadonlySet<string> = new Set();
	#removedAtMs: number[] = [];

	constructor(private readonly options: FleetStateOptions) {
		const createReplica = () => new Replica(() => options.timers.nowMs());
		this.replicas = {
			[Collection.configurations]: createReplica(),
			[Collection.backends]: createReplica(),
			[Collection.evacuations]: createReplica(),
			[Collection.vms]: createReplica(),
		};
		this.replicas[Collection.configurations].events.on('change', change => {
			this.#onConfigurations(change);
		});
		this.replicas[Collection.backends].events.on('change', change => {
			this.#onBackends(change);
		});
		this.replicas[Collection.evacuations].events.on('change', change => {
			this.#onEvacuations(change);
		});
	}

	get configuration(): ConfigurationIndex | undefined {
		return this.#configuration;
	}

	get backends(): ReadonlyMap<string, KnownBackend> {
		return this.#backends;
	}

	isEvacuated(failureDomain: string): boolean {
		return this.#evacuated.has(failureDomain);
	}

	/** Drops a backend server whose hold has ended, unless its entry came back. */
	#endHold(heldBackend: KnownBackend): void {
		const {id} = heldBackend.record;
		if (this.#backends.get(id) === heldBackend) {
			this.#backends.delete(id);
			this.options.logger.info({event: 'backend-gone', server: id, reason: 'its entry did not come back'}, 'backend server is gone');
			void this.events.emit('backends');
		}
	}

	#onConfigurations({changed}: ReplicaChange): void {
		for (const {value} of changed) {
			if (value === undefined) {
				continue;
			}

			const configuration = value as Configuration;
			if (this.#configuration !== undefined && configuration.version <= this.#configuration.version) {
				this.options.logger.warn({event: 'configuration-ignored', version: configuration.version, held: this.#configuration.version}, 'an older configuration was ignored');
				continue;
			}

			this.#configuration = new ConfigurationIndex(configuration);
			this.options.logger.info({
				event: 'configuration', version: configuration.version, routes: configuration.routes.length, workspaces: configuration.workspaces.length,
			}, 'configuration is in force');
			void this.events.emit('configuration', this.#configuration);
		}
	}

	#onBackends({changed, removed}: ReplicaChange): void {
		const {timers, logger} = this.options;
		const nowMs = timers.nowMs();
		for (const {name, value} of changed) {
			const record = value as BackendRecord | undefined;
			if (record === undefined) {
				this.#backends.delete(name);
				continue;
			}

			const known = this.#backends.get(name);
			if (known?.record.state !== record.state || known.record.startedAtMs !== record.startedAtMs) {
				logger.info({
					event: 'backend', server: name, service: record.service, failureDomain: record.failureDomain, state: record.state, coldForMs: record.coldForMs,
				}, 'backend server changed');
			}

			this.#backends.set(name, {record, seenAtMs: nowMs});
		}

		this.#onRemoved(removed, nowMs);
		void this.events.emit('backends');
	}

	#onRemoved(removed: readonly RemovedRecord[], nowMs: number): void {
		this.#removedAtMs = this.#removedAtMs.filter(atMs => atMs > nowMs - removalWindowMs);
		// The change to draining may have come in the same batch as the removal.
		const readyNames = new Set(removed.filter(({name, value}) => ((value as BackendRecord | undefined) ?? this.#backends.get(name)?.record)?.state === BackendState.ready).map(({name}) => name));
		this.#removedAtMs.push(...[...readyNames].map(() => nowMs));
		const mayHaveExpired = this.options.mayHaveExpired() || this.#removedAtMs.length >= minExpiredEntries;
		for (const {name, ageMs} of removed) {
			const known = this.#backends.get(name);
			if (known === undefined) {
				continue;
			}

			// A change may have come through a peer; the time counts from the removal and not from when this VM learned of it.
			const holdMs = expiryHoldMs - ageMs;
			const isHeld = mayHaveExpired && readyNames.has(name) && holdMs > 0;
			if (isHeld) {
				// A copy, so that the timer leaves alone an entry that has come back meanwhile.
				const heldBackend = {...known};
				this.#backends.set(name, heldBackend);
				this.options.timers.after(holdMs, () => {
					this.#endHold(heldBackend);
				});
			} else {
				this.#backends.delete(name);
			}

			this.options.logger.info({
				event: 'backend-removed', server: name, service: known.record.service, isHeld, ageMs: Math.round(ageMs),
			}, 'entry of a backend server was removed');
		}
	}

	#onEvacuations({changed, removed}: ReplicaChange): void {
		const before = this.#evacuated;
		this.#evacuated = new Set(this.replicas[Collection.evacuations].records.keys());
		for (const {name} of [...changed, ...removed]) {
			const isEvacuated = this.#evacuated.has(name);
			if (isEvacuated !== before.has(name)) {
				this.options.logger.info({event: 'evacuation', failureDomain: name, isEvacuated}, 'evacuation changed');
				void this.events.emit('evacuation', {failureDomain: name, isEvacuated});
			}
		}
	}
}
