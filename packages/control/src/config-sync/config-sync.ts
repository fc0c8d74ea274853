import {type Buffer} from 'node:buffer';
import {
	DecisionKind, FescuewickError, logDecision, ResultCode, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	diffHeads, patchHead, type ConfigurationDocument, type ConfigurationHead,
} from '@fescuewick/config';
import {type PeerNetwork, type Random, type Sender} from '@fescuewick/membership';
import {type ObjectStore} from '@fescuewick/store';
import {
	MessageType, type ConfigHeadBody, type ConfigHeadDeltaBody, type HeartbeatBody,
} from '@fescuewick/wire';
import {Freshness} from './freshness.js';
import {HeldConfiguration, parseHead} from './held-configuration.js';
import {sectionOf} from './part-transfer.js';
import {headTimeoutMs, PeerFetcher} from './peer-fetcher.js';
import {PeerRevisions} from './peer-revisions.js';
import {relayPosition, type RelayPosition} from './relay-tree.js';
import {collectRevisions, StartupSurvey} from './startup-survey.js';
import {ConfigStoreClient} from './config-store-client.js';
import {StoreReader} from './store-reader.js';

const tickIntervalMs = 250;

/** Change of the held configuration to a higher revision. */
export type ConfigurationChange = {readonly revision: number; readonly document: ConfigurationDocument; readonly previous: ConfigurationDocument | undefined};

/** Dependencies of a `ConfigSync`. */
export type ConfigSyncOptions = {
	readonly peers: PeerNetwork;
	readonly store: ObjectStore;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: Random;
	/** Reads a content that peers may request by its hash besides the parts of the configuration. */
	readonly readOtherContent?: (hash: string) => Promise<Buffer | undefined>;
	/** Replaces the default `HeldConfiguration` in tests. */
	readonly held?: HeldConfiguration;
};

/** Keeps this node at the highest accepted revision of the configuration, which it reads from the store and from peers. */
export class ConfigSync {
	readonly #options: ConfigSyncOptions;
	readonly #held: HeldConfiguration;
	readonly #freshness: Freshness;
	readonly #storeClient: ConfigStoreClient;
	readonly #reader: StoreReader;
	readonly #peerRevisions: PeerRevisions;
	readonly #fetcher: PeerFetcher;
	readonly #listeners = new Set<(change: ConfigurationChange) => void>();
	#startupSurvey: StartupSurvey | undefined;
	#cachedPosition: RelayPosition | undefined;
	#cancels: Cancel[] = [];
	#ready = false;
	#stopped = false;
	#resolveReady: (() => void) | undefined;

	constructor(options: ConfigSyncOptions) {
		this.#options = options;
		this.#held = options.held ?? new HeldConfiguration();
		this.#freshness = new Freshness(options.timers);
		this.#storeClient = new ConfigStoreClient(options.store, options.timers);
		this.#peerRevisions = new PeerRevisions(options.peers, options.timers);
		this.#reader = new StoreReader({
			...options,
			storeClient: this.#storeClient,
			held: this.#held,
			freshness: this.#freshness,
			isReader: () => this.isReader,
			fetchAndAdopt: async head => this.#fetchAndAdopt(head, undefined),
			onConfirmed: () => {
				this.#markReady('store');
			},
		});
		this.#fetcher = new PeerFetcher({
			...options,
			held: this.#held,
			revisions: this.#peerRevisions,
			fetchAndAdopt: async (head, source) => this.#fetchAndAdopt(head, source),
			readStoreIfDue: async () => this.#reader.readIfDue(),
		});
	}

	get revision(): number {
		return this.#held.revision;
	}

	/** Undefined before the first configuration. */
	get document(): ConfigurationDocument | undefined {
		return this.#held.document;
	}

	/** Head of the held configuration; its list of recent changes is incomplete if the head came from a peer. */
	get head(): ConfigurationHead {
		return this.#held.head;
	}

	/** Whether the node knows which configuration is in force, so that it may serve. */
	get ready(): boolean {
		return this.#ready;
	}

	/** Whether the last call of this node to the store succeeded and was recent. */
	get storeReachable(): boolean {
		return this.#storeClient.reachable;
	}

	/** Time since the held configuration was last confirmed to be the accepted one; undefined if never. */
	get freshnessAgeMs(): number | undefined {
		return this.#freshness.ageMs;
	}

	/** Whether this node watches the store for its failure domain. */
	get isReader(): boolean {
		return this.#relayPosition().isReader;
	}

	/** Starts synchronisation; resolves when the node is ready. */
	async start(): Promise<void> {
		const {peers, timers} = this.#options;
		this.#startupSurvey = new StartupSurvey(peers, this.#peerRevisions, timers);
		peers.on(MessageType.heartbeat, (body, from) => {
			this.#onHeartbeat(body, from);
		});
		peers.handle(MessageType.configHead, async (body, from) => {
			this.#onHead(body, from.vm);
			return {revision: this.#held.revision};
		});
		peers.handle(MessageType.configHeadDelta, async (body, from) => {
			this.#onHeadDelta(body, from.vm);
			return {revision: this.#held.revision};
		});
		peers.handle(MessageType.configHeadRequest, async () => this.#headBody());
		peers.handle(MessageType.configPartRequest, async body => sectionOf(this.#held.content(body.hash) ?? await this.#options.readOtherContent?.(body.hash), body));
		this.#cancels = [
			timers.repeat(tickIntervalMs, () => {
				this.#tick();
			}),
			peers.onChange(() => {
				this.#cachedPosition = undefined;
				this.#peerRevisions.prune();
			}),
		];
		const ready = new Promise<void>(resolve => {
			this.#resolveReady = resolve;
		});
		// A starting node reads the head at once, whether it is a reader or not; jitter would only delay its readiness.
		void this.#reader.readHead(0);
		await ready;
	}

	stop(): void {
		this.#stopped = true;
		this.#reader.stop();
		this.#fetcher.stop();
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	/** Body of this node's heartbeats. */
	heartbeat(): HeartbeatBody {
		const {ageMs} = this.#freshness;
		return {revision: this.#held.revision, freshnessAgeMs: ageMs === undefined ? undefined : Math.ceil(ageMs), storeReachable: this.#storeClient.reachable};
	}

	/** Revisions by VM: those that linked peers reported in heartbeats, and this node's own. */
	confirmedRevisions(): Map<string, number> {
		return this.#peerRevisions.confirmed(this.#held.revision);
	}

	/** Requests the revision of every member, because heartbeats come from linked peers only; undefined for members that do not answer. */
	async collectRevisions(): Promise<Map<string, number | undefined>> {
		return collectRevisions(this.#options.peers);
	}

	/** Whether this node or a peer with recent heartbeats has had contact with the store within `withinMs`. */
	storeContactReported(withinMs: number): boolean {
		return this.#storeClient.reachable || this.#peerRevisions.storeContactReported(withinMs);
	}

	/** Calls `listener` after each change of the held configuration. */
	onChange(listener: (change: ConfigurationChange) => void): Cancel {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#relayPosition(): RelayPosition {
		const {peers} = this.#options;
		this.#cachedPosition ??= relayPosition(peers.self.vm, peers.liveVms(peers.self.failureDomain));
		return this.#cachedPosition;
	}

	#headBody(): ConfigHeadBody {
		// Only operators' clients use the change records, and they read them from the store; 64 records would add 9 KB to each head.
		return {...this.#held.head, recentChanges: [], freshnessAgeMs: this.#freshness.ageMs};
	}

	#tick(): void {
		this.#reader.tick();
		void this.#fetcher.run();
		if (!this.#ready && this.#storeClient.consecutiveFailures > 0) {
			void this.#surveyPeers();
		}
	}

	async #surveyPeers(): Promise<void> {
		const survey = await this.#startupSurvey?.run();
		if (survey?.complete === true && survey.highestRevision > 0 && this.#held.revision >= survey.highestRevision) {
			this.#markReady('peers');
		}
	}

	/** Fetches the missing parts of a head and adopts it; `source` is the peer that sent the head, undefined if it was read from the store. */
	async #fetchAndAdopt(head: ConfigurationHead, source: string | undefined): Promise<void> {
		const fetched = new Map<string, Buffer>();
		for (const hash of this.#held.missingHashes(head)) {
			fetched.set(hash, await this.#fetchPart(hash, head.revision, source));
		}

		const {document, head: previousHead} = this.#held;
		if (!this.#stopped && this.#held.adopt(head, fetched)) {
			this.#relayHead(previousHead);
			this.#notifyListeners(document, source);
		}
	}

	async #fetchPart(hash: string, revision: number, source: string | undefined): Promise<Buffer> {
		// A reader fetches the parts of a stored head from the store, so that the other nodes can fetch them from a peer.
		const isFromStore = source === undefined && this.isReader;
		const fromPeer = isFromStore ? undefined : await this.#fetcher.fetchPart(hash, [source, this.#peerRevisions.pickHolder(revision, this.#options.random)]);
		if (fromPeer !== undefined) {
			return fromPeer;
		}

		if (source !== undefined) {
			throw new FescuewickError(ResultCode.peerClosed, `no peer delivered configuration part ${hash} of revision ${revision}`);
		}

		return this.#storeClient.readPart(hash);
	}

	#notifyListeners(previous: ConfigurationDocument | undefined, source: string | undefined): void {
		const {logger} = this.#options;
		const {document, revision} = this.#held;
		logDecision(logger, DecisionKind.relay, source === undefined ? 'read from the store' : `fetched from ${source}`, {revision});
		if (document === undefined) {
			return;
		}

		for (const listener of this.#listeners) {
			try {
				listener({revision, document, previous});
			} catch (error) {
				logger.error({err: error, revision}, 'listener failed on a configuration change');
			}
		}
	}

	/** Relays the new head as a delta to the previous one, which most nodes hold; a complete head is larger, because it has a hash for each part. */
	#relayHead(previousHead: ConfigurationHead): void {
		const {fromRevision, revision, parts} = diffHeads(previousHead, this.#held.head);
		for (const vm of this.#relayPosition().children) {
			void this.#sendHeadDelta(vm, {fromRevision, revision, parts});
		}
	}

	async #sendHeadDelta(vm: string, body: ConfigHeadDeltaBody): Promise<void> {
		try {
			const {peers} = this.#options;
			const reply = await peers.request(vm, MessageType.configHeadDelta, body, headTimeoutMs);
			if (reply.revision < body.fromRevision) {
				await peers.request(vm, MessageType.configHead, this.#headBody(), headTimeoutMs);
			}
		} catch (error) {
			// The child node learns of the revision from heartbeats.
			this.#options.logger.debug({err: error, vm, revision: body.revision}, 'head delta could not be relayed');
		}
	}

	#onHeartbeat(body: HeartbeatBody, from: Sender): void {
		this.#peerRevisions.recordHeartbeat(from, body);
		if (body.revision > this.#held.revision) {
			void this.#fetcher.run();
			return;
		}

		// The peer confirmed a revision that is not higher than the held one, so this node holds every change accepted before that confirmation.
		if (body.freshnessAgeMs !== undefined && body.transitMs !== undefined) {
			this.#freshness.confirm(this.#options.timers.nowMs() - body.freshnessAgeMs - body.transitMs);
		}
	}

	#onHead(body: ConfigHeadBody, vm: string): void {
		const head = parseHead(body);
		this.#peerRevisions.recordRevision(vm, head.revision);
		if (this.#held.accepts(head)) {
			void this.#fetcher.run({vm, head});
		}
	}

	/** Applies a head delta; a node that does not hold the previous head reports its lower revision and is then sent the complete head. */
	#onHeadDelta(delta: ConfigHeadDeltaBody, vm: string): void {
		const patched = patchHead(this.#held.head, {...delta, changes: []});
		if (patched === undefined) {
			this.#peerRevisions.recordRevision(vm, delta.revision);
		} else {
			this.#onHead({...patched, freshnessAgeMs: undefined}, vm);
		}
	}

	#markReady(source: string): void {
		if (!this.#ready && !this.#stopped) {
			this.#ready = true;
			logDecision(this.#options.logger, DecisionKind.relay, `configuration known from ${source}`, {revision: this.#held.revision});
			this.#resolveReady?.();
		}
	}
}
