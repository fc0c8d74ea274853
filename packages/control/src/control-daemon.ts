import {
	createIncarnation, FescuewickError, incarnationId, Metrics, PauseDetector, ResultCode, type Logger, type TimerService,
} from '@fescuewick/core';
import {DrainKind} from '@fescuewick/config';
import {MemberState, PeerMesh} from '@fescuewick/membership';
import {FleetClaimService} from '@fescuewick/orders';
import {LeasedShareService, type ShareSettings} from '@fescuewick/shares';
import {HttpObjectStore, type ObjectStore} from '@fescuewick/store';
import {
	MessageType, Role, splitAddress, type DrainStateBody, type LoadReportBody, type SnapshotBody, type Transport, type VmRecord,
} from '@fescuewick/wire';
import {startAdminServer, type AdminServer, type ControlStatus} from './admin-server.js';
import {BlockChunks} from './block-chunks.js';
import {ConfigSync, sectionOf} from './config-sync/index.js';
import {DaemonHub} from './daemon-hub.js';
import {KeyState} from './keys/index.js';
import {PlatformLists} from './platform-lists.js';
import {LoadReports, ShiftService} from './shifts/index.js';
import {type ControlSettings} from './settings.js';

/** The entry daemon reports within this time that it has received SIGTERM as well. */
const entryNoticeTimeoutMs = 500;
/** An entry daemon counts as ended after this time without a link; a running one reconnects after 250 ms. */
const entryGoneAfterMs = 500;
const drainCheckIntervalMs = 50;

/** Dependencies of a control daemon. */
export type ControlDeps = {
	readonly timers: TimerService;
	readonly transport: Transport;
	readonly logger: Logger;
	/** Returns a number in [0, 1). */
	readonly random: () => number;
	/** Replaces the HTTP client of the store, for tests. */
	readonly store?: ObjectStore;
	readonly metrics?: Metrics;
};

/** A running control daemon. */
export type ControlDaemon = {
	readonly adminUrl: string;
	/** Address for the VM's own daemons. */
	readonly localAddress: string;
	status(): ControlStatus;
	/** Stops the daemon; if the VM's entry daemon is stopping too, only after the entry daemon has ended, which needs claims and shares until its end. */
	drain(): Promise<void>;
	/** Stops at once. */
	stop(): Promise<void>;
};

/** Starts the control daemon of an entry VM; resolves when it is listening, which may be before it has a configuration. */
export async function startControl(settings: ControlSettings, deps: ControlDeps): Promise<ControlDaemon> {
	const node = new ControlNode(settings, deps);
	await node.start();
	return node;
}

class ControlNode implements ControlDaemon {
	adminUrl = '';
	localAddress = '';
	readonly #store: ObjectStore;
	readonly #metrics: Metrics;
	readonly #mesh: PeerMesh;
	readonly #config: ConfigSync;
	readonly #keys: KeyState;
	readonly #claims: FleetClaimService;
	readonly #pauseDetector: PauseDetector;
	readonly #shares: LeasedShareService;
	#shareSettings: ShareSettings = {revision: 0, rates: new Map(), servers: undefined};
	readonly #hub: DaemonHub;
	readonly #lists: PlatformLists;
	readonly #chunks: BlockChunks;
	readonly #loads: LoadReports;
	readonly #shifts: ShiftService;
	#admin: AdminServer | undefined;
	/** True until the entry daemon reports that it serves; look-up answers do not include the VM while it is true. */
	#isDraining = true;
	/** Monotonic time at which the entry daemon will have ended, as it announced. */
	#entryEndDeadlineMs: number | undefined;

	constructor(readonly settings: ControlSettings, readonly deps: ControlDeps) {
		const {timers, transport, logger, random} = deps;
		const {location} = settings;
		const incarnation = createIncarnation(location.vm, timers);
		this.#metrics = deps.metrics ?? new Metrics({vm: location.vm, domain: location.failureDomain});
		this.#store = deps.store ?? new HttpObjectStore({url: settings.storeUrl ?? '', timeoutMs: settings.storeTimeoutMs, connections: 8});
		const store = this.#store;
		this.#mesh = new PeerMesh({
			self: selfRecord(settings), incarnation, timers, transport, logger, random, seeds: settings.seeds, listenAddress: settings.peerListen,
		});
		const peers = this.#mesh;
		this.#chunks = new BlockChunks({
			peers, store, timers, logger, index: () => this.#lists.blocks, isReader: () => this.#config.isReader,
		});
		this.#config = new ConfigSync({
			peers, store, timers, logger, random, readOtherContent: async hash => this.#chunks.readForPeer(hash),
		});
		this.#keys = new KeyState({
			peers, config: this.#config, store, timers, logger, random,
		});
		this.#mesh.setHeartbeatSource(() => this.#keys.heartbeat());
		this.#claims = new FleetClaimService({
			peers, store, timers, logger, entryIncarnations: () => this.#hub.entryIncarnations,
		});
		this.#loads = new LoadReports(peers, timers);
		this.#shifts = new ShiftService({
			peers, timers, logger, loads: this.#loads,
		});
		this.#lists = new PlatformLists({
			peers,
			store,
			timers,
			logger,
			random,
			isReader: () => this.#config.isReader,
			onChange: () => {
				this.#mesh.applyPlatformList(this.#lists.vms);
				this.#updateShareSettings();
				this.#hub.publish();
			},
		});
		this.#pauseDetector = new PauseDetector(timers);
		this.#shares = new LeasedShareService({
			peers, store, timers, pauses: this.#pauseDetector, settings: () => this.#shareSettings, logger,
		});
		this.#hub = new DaemonHub({
			timers,
			transport,
			logger,
			location,
			incarnation,
			address: settings.localListen,
			snapshot: () => this.#snapshot(),
			heartbeat: () => ({revision: this.#config.revision, freshnessAgeMs: this.#keys.keysAgeMs(), storeReachable: this.#config.storeReachable}),
			handlers: {
				[MessageType.shareRequest]: async body => this.#shares.request(body),
				[MessageType.shiftRequest]: async body => this.#shifts.request(body),
				[MessageType.loadsRequest]: async () => ({entries: this.#loads.entries()}),
				[MessageType.configPartRequest]: async body => sectionOf(await this.#chunks.read(body.hash), body),
				[MessageType.shareReturn]: async body => {
					await this.#shares.returnShares(body);
					return {accepted: true};
				},
				[MessageType.claimRequest]: async body => this.#claims.claim(body),
				[MessageType.claimComplete]: async body => {
					await this.#claims.complete(body);
					return {accepted: true};
				},
				[MessageType.claimRelease]: async body => {
					await this.#claims.release(body);
					return {accepted: true};
				},
			},
			onMessage: (type, body) => {
				if (type === MessageType.loadReport) {
					this.#loads.addLocalReport((body as LoadReportBody).entries);
				} else if (type === MessageType.drainState) {
					const {draining, endsWithinMs} = body as DrainStateBody;
					this.#isDraining = draining;
					this.#entryEndDeadlineMs = endsWithinMs === undefined ? undefined : timers.nowMs() + endsWithinMs;
					this.#updateLeaving();
				}
			},
			onRolesChange: () => {
				// A restarted entry daemon has to report again that it serves.
				this.#isDraining ||= !this.#hub.connectedRoles.includes(Role.entry);
				this.#updateLeaving();
			},
		});
	}

	async start(): Promise<void> {
		const {logger} = this.deps;
		await this.#mesh.start();
		this.#keys.start();
		this.#claims.start();
		this.#shares.start();
		this.#config.onChange(() => {
			this.#updateShareSettings();
			this.#hub.publish();
		});
		this.#keys.onRevoked(() => {
			this.#hub.publish();
		});
		this.#mesh.onChange(() => {
			this.#hub.publish();
		});
		this.#lists.start();
		this.#loads.start();
		this.localAddress = await this.#hub.start();
		this.#admin = await startAdminServer(splitAddress(this.settings.adminListen), {
			metrics: this.#metrics,
			status: () => this.status(),
			revoke: hashes => {
				this.#keys.revoke(hashes);
				return this.#keys.revokedKeyHashes.length;
			},
			isRevoked: hash => this.#keys.isRevoked(hash),
			findKey: id => this.#config.document?.keys.find(key => key.id === id),
		});
		this.adminUrl = this.#admin.url;
		logger.info({adminUrl: this.adminUrl, localAddress: this.localAddress, incarnation: incarnationId(this.#mesh.incarnation)}, 'control daemon started');
		void this.#config.start();
	}

	status(): ControlStatus {
		const revisions = this.#config.confirmedRevisions();
		return {
			...this.settings.location,
			incarnation: incarnationId(this.#mesh.incarnation),
			revision: this.#config.revision,
			freshnessAgeMs: this.#config.freshnessAgeMs,
			storeReachable: this.#config.storeReachable,
			keysAgeMs: this.#keys.keysAgeMs(),
			revokedKeyHashes: this.#keys.revokedKeyHashes.length,
			members: this.#mesh.members().map(({record, state}) => ({vm: record.vm, state, revision: revisions.get(record.vm)})),
			ready: this.#config.ready && this.#config.document !== undefined,
			draining: this.#isDraining || this.#isDrainedByOperators(),
		};
	}

	async drain(): Promise<void> {
		const {timers, logger} = this.deps;
		const startedAtMs = timers.nowMs();
		let entryConnectedAtMs = startedAtMs;
		while (timers.nowMs() - entryConnectedAtMs < entryGoneAfterMs && timers.nowMs() < (this.#entryEndDeadlineMs ?? startedAtMs) + entryNoticeTimeoutMs) {
			await timers.sleep(drainCheckIntervalMs);
			if (this.#hub.connectedRoles.includes(Role.entry)) {
				entryConnectedAtMs = timers.nowMs();
			}
		}

		logger.info({waitedMs: Math.round(timers.nowMs() - startedAtMs), entryConnected: this.#hub.connectedRoles.includes(Role.entry)}, 'control daemon is stopping');
		await this.stop();
	}

	async stop(): Promise<void> {
		this.#config.stop();
		this.#keys.stop();
		await this.#shares.stop();
		this.#pauseDetector.stop();
		await this.#claims.stop();
		this.#lists.stop();
		this.#loads.stop();
		this.#shifts.stop();
		await this.#admin?.close();
		await this.#hub.stop();
		await this.#mesh.stop();
		if (this.#store instanceof HttpObjectStore) {
			await this.#store.close();
		}
	}

	#isDrainedByOperators(): boolean {
		const {vm, failureDomain} = this.settings.location;
		return (this.#config.document?.drains ?? []).some(({kind, name}) => (kind === DrainKind.vm && name === vm) || (kind === DrainKind.failureDomain && name === failureDomain));
	}

	#snapshot(): SnapshotBody | undefined {
		const {document} = this.#config;
		if (document === undefined) {
			return undefined;
		}

		const members = this.#mesh.members();
		const {blocks} = this.#lists;
		return {
			revision: this.#config.revision,
			configuration: document,
			members: members.map(member => member.record),
			backends: this.#lists.backends,
			revokedKeyHashes: this.#keys.revokedKeyHashes,
			keysAgeMs: this.#keys.keysAgeMs(),
			loads: this.#loads.entries(),
			shiftGrants: this.#shifts.grants(),
			controlIncarnation: incarnationId(this.#mesh.incarnation),
			vmStates: members.map(({record, state, incarnation}) => ({
				vm: record.vm, ready: state === MemberState.alive || state === MemberState.listed, incarnation: incarnation === undefined ? undefined : incarnationId(incarnation),
			})),
			...(blocks === undefined ? {} : {blocks}),
		};
	}

	/** Excludes the VM from look-up answers while its entry daemon drains or is not connected. */
	#updateLeaving(): void {
		this.#mesh.setLeaving(this.#isDraining || !this.#hub.connectedRoles.includes(Role.entry));
	}

	#updateShareSettings(): void {
		this.#shareSettings = {
			revision: this.#config.revision,
			rates: new Map((this.#config.document?.workspaces ?? []).map(({name, ratePerS, burst}) => [name, {ratePerS, burst}])),
			servers: this.#lists.backends && new Map(this.#lists.backends.map(({server, slots, connections}) => [server, {slots, connections}])),
		};
	}
}

function selfRecord(settings: ControlSettings): VmRecord {
	if (settings.storeUrl === undefined && settings.seeds.length === 0) {
		throw new FescuewickError(ResultCode.settingsInvalid, 'settings of a control daemon must contain storeUrl or at least one of seeds');
	}

	return {
		...settings.location,
		controlAddress: settings.peerListen,
		entryUrl: settings.entryUrl,
		lookupUrl: settings.lookupUrl,
		adminUrl: `http://${settings.adminListen}`,
		leaving: false,
	};
}
