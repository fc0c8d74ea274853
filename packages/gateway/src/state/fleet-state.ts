import {isDeepStrictEqual} from 'node:util';
import Emittery from 'emittery';
import {type Logger, type TimerService} from '@fescuewick/core';
import {Collection, type CollectionRecord} from '@fescuewick/store';
import {ConfigurationIndex, type Configuration} from '../model/configuration.js';
import {BackendState, type BackendRecord} from '../model/records.js';
import {DepartedBackends} from './departed-backends.js';
import {followedCollections} from './followed-collections.js';
import {
	Replica, type RemovedRecord, type ReplicaChange, type ReplicaRevisions, type StoreReading,
} from './replica.js';
import {StoreEra} from './store-era.js';

/** Window in which removals are counted together, in milliseconds. */
const removalWindowMs = 1500;
/** If at least this many ready servers are removed within the window, their entries may have expired while the store was unavailable. */
const minRemovalsForExpiry = 2;
/** How long backend servers whose entries may have expired stay in use, in milliseconds. The platform restores the entries of live servers within about 2 s. In the deployments so far, a server that left may be used for 2.5 s, of which up to half a second passes until a VM learns of it. */
const expiryHoldMs = 1900;

/** Time that the last request needs to reach a server that is no longer used, in milliseconds. */
const requestMs = 100;

/** Time after a restore of the store in which removed entries may have expired, in milliseconds; their last renewals may be lost. */
const restoreWindowMs = 3000;

/**
How long entries in a copy from which the store was restored are passed over if this VM knows later ones, in milliseconds. Live servers restore their entries within about 2 s; the entry of a server that left expires in the store.
*/
const outdatedEntryMs = 30_000;

/** Unknown values of a configuration that its log line names; the others are counted. */
const maxReportedValues = 5;

/** A backend server in use, and when this VM received its current record. */
export type KnownBackend = {
	readonly record: BackendRecord;
	readonly receivedAtMs: number;
};

/** What a VM tells its peers about its replicas. */
export type AdvertisedState = {
	/** Highest era of the store that the VM knows of, which is that of the revisions and readings; 0 if it knows none. */
	readonly storeEra: number;
	/** Version of the configuration in force if the store holds only an earlier one since it was restored from a copy. */
	readonly heldVersion?: number;
	/** Revisions of the replicas by collection. */
	readonly revisions: Readonly<Record<string, ReplicaRevisions>>;
	/** What the store last showed to the VM, by collection; a collection is missing while the store has shown nothing. */
	readonly storeReadings: Readonly<Record<string, StoreReading>>;
};

type FleetStateOptions = {
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Whether removed entries may have expired, although their servers have not left. */
	readonly mayHaveExpired: () => boolean;
	/** Longest time for which a backend server that left may be used, in milliseconds. */
	readonly drainMs: () => number;
};

/** Configuration, backend servers and evacuations as known from the replicas of this VM. */
export class FleetState {
	readonly events = new Emittery<{configuration: ConfigurationIndex; backends: undefined; evacuation: {failureDomain: string; isEvacuated: boolean}}>();
	readonly storeEra = new StoreEra();
	readonly replicas: Readonly<Record<Collection, Replica>>;

	#configuration: ConfigurationIndex | undefined;
	/** Era of the store from which the configuration was read. */
	#configurationEra = 0;
	readonly #departed: DepartedBackends;
	readonly #backends = new Map<string, KnownBackend>();
	#evacuated: ReadonlySet<string> = new Set();
	#removedAtMs: number[] = [];
	#restoredAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: FleetStateOptions) {
		this.#departed = new DepartedBackends(options.timers);
		this.storeEra.events.on('raised', ({from, to, source}) => {
			this.#restoredAtMs = options.timers.nowMs();
			options.logger.warn({
				event: 'store-era', fromEra: from.era, fromRevision: from.revision, era: to.era, revision: to.revision, source,
			}, 'the store was restored from a copy');
		});
		const createReplica = () => new Replica(() => options.timers.nowMs(), this.storeEra);
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

	/** The configuration in force if the store was restored from a copy that holds only an earlier version; VMs that know only the copy take it from their peers. */
	get heldConfiguration(): Configuration | undefined {
		const replica = this.replicas[Collection.configurations];
		const current = this.#configuration?.configuration;
		if (current === undefined || this.#configurationEra >= replica.position.era) {
			return undefined;
		}

		return [...replica.records.values()].every(({value}) => value === undefined || (value as Configuration).version < current.version) ? current : undefined;
	}

	/** Applies a configuration that a peer holds, if it is newer than the one in force. */
	adoptHeldConfiguration(configuration: Configuration): void {
		if (this.#configuration === undefined || configuration.version > this.#configuration.configuration.version) {
			// The peer read it in an earlier era, so a configuration of the same version in the present one replaces it.
			this.#apply(configuration, 0);
		}
	}

	/** State of the replicas as heartbeats tell it to peers. */
	advertised(): AdvertisedState {
		return {
			storeEra: this.storeEra.value,
			heldVersion: this.heldConfiguration?.version,
			revisions: Object.fromEntries(followedCollections.map(collection => [collection, this.replicas[collection].advertisedRevisions])),
			storeReadings: this.#readings(),
		};
	}

	/** What the store last showed to this VM, by collection. */
	#readings(): Record<string, StoreReading> {
		const readings: Record<string, StoreReading> = {};
		for (const collection of followedCollections) {
			const {reading} = this.replicas[collection];
			if (reading !== undefined) {
				readings[collection] = reading;
			}
		}

		return readings;
	}

	/** Removes a backend server at the end of its hold, unless its entry was restored. */
	#endHold(heldBackend: KnownBackend): void {
		const {id} = heldBackend.record;
		if (this.#backends.get(id) === heldBackend) {
			this.#backends.delete(id);
			this.options.logger.info({event: 'backend-gone', server: id, reason: 'its entry was not restored'}, 'backend server is gone');
			void this.events.emit('backends');
		}
	}

	#onConfigurations({changed, era = 0}: ReplicaChange): void {
		for (const {value} of changed) {
			if (value === undefined) {
				continue;
			}

			const configuration = value as Configuration;
			if (this.#configuration !== undefined && !this.#isNewer(configuration, era, this.#configuration.configuration)) {
				this.options.logger.warn({event: 'configuration-ignored', version: configuration.version, held: this.#configuration.version}, 'ignored a configuration that is not newer');
				continue;
			}

			this.#apply(configuration, era);
		}
	}

	#apply(configuration: Configuration, era: number): void {
		this.#configuration = new ConfigurationIndex(configuration);
		this.#configurationEra = era;
		this.options.logger.info({
			event: 'configuration', version: configuration.version, routes: configuration.routes.length, workspaces: configuration.workspaces.length,
		}, 'configuration applied');
		this.#reportUnknownValues(configuration);
		void this.events.emit('configuration', this.#configuration);
	}

	/** Whether a configuration replaces the one in force. A version may be given out again after a restore of the store; the later one was written in the later era. */
	#isNewer(configuration: Configuration, era: number, current: Configuration): boolean {
		const isVersionGivenOutAgain = configuration.version === current.version && era > this.#configurationEra && !isDeepStrictEqual(configuration, current);
		return configuration.version > current.version || isVersionGivenOutAgain;
	}

	#reportUnknownValues({version, unknownValues = []}: Configuration): void {
		if (unknownValues.length > 0) {
			this.options.logger.warn({
				event: 'configuration-unknown-values', version, count: unknownValues.length, first: unknownValues.slice(0, maxReportedValues).map(({owner, field, value}) => `${owner}: ${field} ${value}`),
			}, 'the configuration has values that this version does not know; they are read with the safest meaning');
		}
	}

	#onBackends({changed, removed, isRestore = false}: ReplicaChange): void {
		const {timers, logger} = this.options;
		const nowMs = timers.nowMs();
		const outdated: CollectionRecord[] = [];
		for (const changedRecord of changed) {
			const {name, value} = changedRecord;
			const record = value as BackendRecord | undefined;
			if (record === undefined) {
				this.#backends.delete(name);
				continue;
			}

			if (isRestore && this.#departed.isOutdated(record, this.#backends.get(name)?.record)) {
				outdated.push(changedRecord);
				continue;
			}

			this.#departed.delete(name);
			const known = this.#backends.get(name);
			if (known?.record.state !== record.state || known.record.startedAtMs !== record.startedAtMs) {
				logger.info({
					event: 'backend', server: name, service: record.service, failureDomain: record.failureDomain, state: record.state, coldForMs: record.coldForMs,
				}, 'backend server changed');
			}

			this.#backends.set(name, {record, receivedAtMs: nowMs});
		}

		this.#passOver(outdated);
		this.#onRemoved(removed, nowMs, isRestore);
		void this.events.emit('backends');
	}

	/** Applies outdated entries of a copy only if they are not written again within a time. */
	#passOver(outdated: readonly CollectionRecord[]): void {
		const {timers, logger} = this.options;
		if (outdated.length === 0) {
			return;
		}

		logger.info({event: 'backends-outdated', count: outdated.length, first: outdated.slice(0, maxReportedValues).map(({name}) => name)}, 'the copy of the store lists earlier states of backend servers');
		const replica = this.replicas[Collection.backends];
		const {era} = replica.position;
		timers.after(outdatedEntryMs, () => {
			if (replica.position.era === era) {
				this.#onBackends({changed: outdated.filter(({name, revision}) => replica.records.get(name)?.revision === revision), removed: []});
			}
		});
	}

	#onRemoved(removed: readonly RemovedRecord[], nowMs: number, isRestore: boolean): void {
		this.#removedAtMs = this.#removedAtMs.filter(atMs => atMs > nowMs - removalWindowMs);
		// A removed record carries the last state of the batch, so a change to draining counts even if it came together with the removal.
		const readyNames = new Set(removed.filter(({name, value}) => ((value as BackendRecord | undefined) ?? this.#backends.get(name)?.record)?.state === BackendState.ready).map(({name}) => name));
		this.#removedAtMs.push(...[...readyNames].map(() => nowMs));
		const mayHaveExpired = isRestore || nowMs - this.#restoredAtMs < restoreWindowMs || this.options.mayHaveExpired() || this.#removedAtMs.length >= minRemovalsForExpiry;
		for (const {name, ageMs, maxAgeMs} of removed) {
			const known = this.#backends.get(name);
			if (known === undefined) {
				continue;
			}

			if (!isRestore) {
				this.#departed.add(known.record);
			}

			// If the removal came through a peer, the hold counts from when the first VM learned of it and not from its arrival at this VM.
			const holdMs = Math.min(expiryHoldMs - ageMs, this.#usableForMs(maxAgeMs));
			const isHeld = mayHaveExpired && readyNames.has(name) && holdMs > 0;
			if (isHeld) {
				// A new object is stored, so that `#endHold` can distinguish it from an entry that was restored or held again meanwhile.
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

	/** How long a server whose removal happened at most `maxAgeMs` ago may still be used, in milliseconds; unlimited after an outage of the store that is longer than servers which left may be used. */
	#usableForMs(maxAgeMs: number): number {
		const maxUseMs = this.options.drainMs() - requestMs;
		return maxAgeMs < this.options.drainMs() ? maxUseMs - maxAgeMs : Number.POSITIVE_INFINITY;
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
