import {
	incarnationId, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {type ConfigurationDocument, type KeySettings} from '@fescuewick/config';
import {
	MemberState, type Member, type PeerNetwork, type Random, type Sender,
} from '@fescuewick/membership';
import {type ObjectStore} from '@fescuewick/store';
import {MessageType, type HeartbeatBody} from '@fescuewick/wire';
import {type ConfigSync, type ConfigurationChange} from '../config-sync/index.js';
import {RevocationPropagator, type Confirmation} from './revocation-propagator.js';
import {KeyFreshness} from './key-freshness.js';
import {RevokedKeys} from './revoked-keys.js';
import {requireKeyHash, RevocationWriter} from './revocation-writer.js';

/** A store outage is assumed after this time without any report of contact with the store; from then on, heartbeats of peers confirm that keys are current. It is shorter than the 5 s for which keys are current, so that they do not become stale before. */
const outageThresholdMs = 3500;
const writeCheckIntervalMs = 500;
/** Minimum interval between offers of hashes to a peer whose set differs. */
const offerIntervalMs = 1000;
/** Maximum number of hashes in a frame; a hash takes 66 bytes, so the frame stays below the frame limit. */
const hashesPerFrame = 5000;
/** A starting node waits at most this long for the sets of its peers before it considers its own set current. */
const peerSetWaitMs = 3000;

/** Dependencies of a `KeyState`. */
export type KeyStateOptions = {
	readonly peers: PeerNetwork;
	readonly config: ConfigSync;
	readonly store: ObjectStore;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: Random;
	/** Replaces the set of revoked keys in tests. */
	readonly revoked?: RevokedKeys;
};

/** Set of revoked keys of a peer, as its heartbeats summarise it, and the offers made to the peer. */
type PeerRevokedSet = {summary: number | undefined; incarnation: string; differsSinceMs: number | undefined; offeredAtMs: number; offers: number};

/** Valid keys, which are the configured keys that are not revoked, and the time since they were last known to be current. */
export class KeyState {
	readonly #options: KeyStateOptions;
	readonly #revoked: RevokedKeys;
	readonly #freshness: KeyFreshness;
	readonly #propagator: RevocationPropagator;
	readonly #writer: RevocationWriter;
	readonly #peerSets = new Map<string, PeerRevokedSet>();
	readonly #listeners = new Set<(keyHashes: readonly string[]) => void>();
	#keys = new Map<string, KeySettings>();
	#cancels: Cancel[] = [];
	#startedAtMs = 0;

	constructor(options: KeyStateOptions) {
		this.#options = options;
		this.#revoked = options.revoked ?? new RevokedKeys(options.timers);
		this.#freshness = new KeyFreshness(options.peers, options.timers);
		this.#propagator = new RevocationPropagator(options.peers, options.timers);
		this.#writer = new RevocationWriter({
			...options,
			isRevoked: hash => this.#revoked.has(hash),
			isDue: () => options.config.isReader && options.config.storeReachable && [...this.#keys.keys()].some(hash => this.#revoked.has(hash)),
		});
	}

	/** Hashes of all keys known to be revoked. */
	get revokedKeyHashes(): readonly string[] {
		return this.#revoked.all();
	}

	/** Subscribes to the configuration and to messages of peers; called before `ConfigSync.start`. */
	start(): void {
		const {peers, config, timers} = this.#options;
		this.#startedAtMs = timers.nowMs();
		peers.on(MessageType.heartbeat, (body, from) => {
			this.#onHeartbeat(body, from);
		});
		peers.on(MessageType.revocations, (body, from) => {
			this.#merge(body.keyHashes, from);
		});
		peers.handle(MessageType.revocations, async (body, from) => {
			this.#merge(body.keyHashes, from);
			return {known: this.#revoked.size};
		});
		this.#cancels = [
			config.onChange(change => {
				this.#onConfigurationChange(change);
			}),
			peers.onChange(() => {
				this.#removeFormerMembers();
			}),
			timers.repeat(writeCheckIntervalMs, () => {
				void this.#writer.writeIfDue();
			}),
		];
		if (config.document !== undefined) {
			this.#setKeys(config.document);
		}
	}

	stop(): void {
		this.#propagator.stop();
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	/** Body of this node's heartbeats, including the fields of `ConfigSync`. */
	heartbeat(): HeartbeatBody {
		return {...this.#options.config.heartbeat(), keySummary: this.#revoked.summary};
	}

	/** The key with this hash; undefined if it is unknown or revoked. */
	validKey(hash: string): KeySettings | undefined {
		return this.#revoked.has(hash) ? undefined : this.#keys.get(hash);
	}

	isRevoked(hash: string): boolean {
		return this.#revoked.has(hash);
	}

	/** Revokes keys by their hashes on this node and on all peers; throws `objectUnknown` for text that is not a hash. */
	revoke(keyHashes: readonly string[]): void {
		for (const hash of keyHashes) {
			requireKeyHash(hash);
		}

		this.#merge(keyHashes, undefined);
		void this.#propagator.propagate(keyHashes);
	}

	/** For each member, whether it is known to hold the revocation of a key. */
	confirmations(keyHash: string): Confirmation[] {
		return this.#propagator.confirmationsOf(keyHash, this.#revoked.has(keyHash), member => this.#holdsSameSet(member));
	}

	/** Time since keys were last confirmed to be current, in milliseconds; undefined if never. */
	keysAgeMs(): number | undefined {
		const {config} = this.#options;
		if (!config.ready || config.document === undefined || !this.#hasReceivedPeerSets()) {
			return undefined;
		}

		const confirmedAgeMs = config.freshnessAgeMs;
		// While any node has contact with the store, a revocation may be in the store only, so heartbeats of peers do not prove that keys are current.
		const heartbeatAgeMs = config.storeContactReported(outageThresholdMs) ? undefined : this.#freshness.heartbeatAgeMs();
		if (confirmedAgeMs === undefined || heartbeatAgeMs === undefined) {
			return confirmedAgeMs ?? heartbeatAgeMs;
		}

		return Math.min(confirmedAgeMs, heartbeatAgeMs);
	}

	/** Calls `listener` with the hashes of newly revoked keys. */
	onRevoked(listener: (keyHashes: readonly string[]) => void): Cancel {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Whether this process holds the revocations of its live peers or has waited long enough for them; a new process holds none. */
	#hasReceivedPeerSets(): boolean {
		const {peers, timers} = this.#options;
		return timers.nowMs() - this.#startedAtMs > peerSetWaitMs
			|| peers.members().every(member => member.record.vm === peers.self.vm || member.state !== MemberState.alive || this.#holdsSameSet(member));
	}

	#holdsSameSet(member: Member): boolean {
		const set = this.#peerSets.get(member.record.vm);
		return set !== undefined && member.incarnation !== undefined && set.incarnation === incarnationId(member.incarnation) && set.summary === this.#revoked.summary;
	}

	#onConfigurationChange({document, previous}: ConfigurationChange): void {
		this.#setKeys(document);
		const revoked = previous?.keys.map(key => key.sha256).filter(hash => !this.#keys.has(hash)) ?? [];
		this.#merge(revoked, undefined);
	}

	#setKeys(document: ConfigurationDocument): void {
		this.#keys = new Map(document.keys.map(key => [key.sha256, key]));
	}

	#merge(keyHashes: readonly string[], from: Sender | undefined): void {
		const added = this.#revoked.add(keyHashes);
		if (from !== undefined) {
			this.#propagator.recordConfirmation(keyHashes, incarnationId(from.incarnation));
		}

		if (added.length === 0) {
			return;
		}

		this.#options.logger.info({keys: added.length, from: from?.vm}, 'keys revoked');
		for (const listener of this.#listeners) {
			listener(added);
		}

		for (const member of this.#options.peers.members()) {
			if (member.record.vm !== from?.vm && member.record.vm !== this.#options.peers.self.vm && member.heardAgeMs !== undefined) {
				this.#send(member.record.vm, added);
			}
		}
	}

	#removeFormerMembers(): void {
		this.#freshness.onMembersChanged();
		const members = new Set(this.#options.peers.members().map(member => member.record.vm));
		for (const vm of this.#peerSets.keys()) {
			if (!members.has(vm)) {
				this.#peerSets.delete(vm);
			}
		}
	}

	#send(vm: string, keyHashes: readonly string[]): void {
		for (let index = 0; index < keyHashes.length; index += hashesPerFrame) {
			this.#options.peers.send(vm, MessageType.revocations, {keyHashes: keyHashes.slice(index, index + hashesPerFrame)});
		}
	}

	#onHeartbeat(body: HeartbeatBody, from: Sender): void {
		// A peer whose set differs may hold a revocation that this node lacks, so its heartbeat does not confirm that keys are current.
		if (body.keySummary === undefined || body.keySummary === this.#revoked.summary) {
			this.#freshness.recordHeartbeat(from, body);
		}

		const nowMs = this.#options.timers.nowMs();
		const incarnation = incarnationId(from.incarnation);
		let set = this.#peerSets.get(from.vm);
		if (set?.incarnation !== incarnation) {
			// The first heartbeat of a process causes an immediate offer of the set.
			set = {
				summary: undefined, incarnation, differsSinceMs: Number.NEGATIVE_INFINITY, offeredAtMs: Number.NEGATIVE_INFINITY, offers: 0,
			};
			this.#peerSets.set(from.vm, set);
		}

		set.summary = body.keySummary;
		if (body.keySummary === undefined || body.keySummary === this.#revoked.summary) {
			set.differsSinceMs = undefined;
			set.offers = 0;
			return;
		}

		set.differsSinceMs ??= nowMs;
		// Sets differ briefly while a hash propagates, so only a persistent difference causes an exchange.
		if (nowMs - set.differsSinceMs >= offerIntervalMs / 2 && nowMs - set.offeredAtMs >= offerIntervalMs) {
			set.offeredAtMs = nowMs;
			const isFirstContact = set.differsSinceMs === Number.NEGATIVE_INFINITY;
			this.#send(from.vm, set.offers++ === 0 && !isFirstContact ? this.#revoked.recent() : this.#revoked.all());
		}
	}
}
