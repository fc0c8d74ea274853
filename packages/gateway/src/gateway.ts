import {performance} from 'node:perf_hooks';
import {
	Metrics, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {CloseBarrier} from '@fescuewick/entry/http';
import {Collection, type CollectionStore} from '@fescuewick/store';
import {RequestQueues} from './admission/request-queues.js';
import {entryAddressesFor} from './directory/entry-directory.js';
import {createAttemptLimits} from './forward/attempt-limits.js';
import {type ForwardingContext} from './forward/forwarding-context.js';
import {type HeaderDialect} from './forward/header-dialect.js';
import {RouteLatency} from './forward/route-latency.js';
import {type VmRecord} from './model/records.js';
import {ReplicaSync} from './peers/replica-sync.js';
import {Gossip} from './peers/gossip.js';
import {HeartbeatScope} from './peers/heartbeat-recipients.js';
import {type Heartbeat} from './peers/heartbeat.js';
import {PeerClient} from './peers/peer-client.js';
import {PeerTable} from './peers/peer-table.js';
import {RatePoolExchange} from './peers/rate-pool-exchange.js';
import {Registration} from './peers/registration.js';
import {ServerNoticeKind} from './peers/server-notice.js';
import {FleetDemand, initialDurationMs} from './placement/fleet-demand.js';
import {Placer} from './placement/placer.js';
import {createProbeAgent, Prober} from './placement/prober.js';
import {SlotDemandMeter} from './placement/slot-demand-meter.js';
import {EventLoopDelay} from './server/event-loop-delay.js';
import {ClientConnections} from './server/client-connections.js';
import {registerGauges} from './server/gauges.js';
import {applyLimits, createFrontServer, stopFrontServer} from './server/front-server.js';
import {listenAt} from './server/listen.js';
import {RequestHandler} from './server/request-handler.js';
import {RequestLog} from './server/request-log.js';
import {createAuxiliaryServers, type PlatformInterface, type AuxiliaryServerOptions} from './server/auxiliary-servers.js';
import {inForceMs, type GatewaySettings} from './settings.js';
import {EraCheckedStore} from './state/era-checked-store.js';
import {FleetState} from './state/fleet-state.js';
import {followedCollections} from './state/followed-collections.js';
import {ReplicaAgeMonitor} from './state/replica-age-monitor.js';
import {StoreFollowers} from './state/store-followers.js';
import {StoreCircuitBreaker} from './state/store-circuit-breaker.js';
import {StoreReaderRole} from './state/store-reader-role.js';

/** TTL of directory answers, in milliseconds; callers use a lost VM for at most this long after its peers have noticed. */
const directoryTtlMs = 2000;
/** Time after a store outage in which removed entries may have expired, in milliseconds. */
const expiryWindowMs = 3000;
/** Interval of the checks for silent peers and for delays of the event loop, in milliseconds. */
const checkIntervalMs = 250;
/** Longest time that a starting VM waits for its replicas before it listens anyway, in milliseconds. */
const maxStartWaitMs = 1500;
/** Interval at which the fractions of requests that run in other regions are adjusted, in milliseconds. */
const steeringIntervalMs = 500;
/** Upper bounds of latency buckets, in seconds. */
const latencyBucketsS = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** Dependencies of a gateway besides its settings. */
export type GatewayDependencies = {
	readonly store: CollectionStore;
	readonly dialect: HeaderDialect;
	readonly platform: PlatformInterface;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: () => number;
};

/** Daemon of one VM: follows the store, exchanges state with its peers, and serves requests, the directory, readiness and metrics. */
export class Gateway {
	readonly #breaker: StoreCircuitBreaker;
	readonly #state: FleetState;
	readonly #peers: PeerTable;
	readonly #gossip: Gossip;
	readonly #registration: Registration;
	readonly #replicaSync: ReplicaSync;
	readonly #peerClient = new PeerClient();
	readonly #followers: StoreFollowers;
	readonly #readerRole: StoreReaderRole;
	readonly #ratePools: RatePoolExchange;
	readonly #closeBarrier: CloseBarrier;
	readonly #queues: RequestQueues;
	readonly #slotDemandMeter = new SlotDemandMeter();
	readonly #latency = new RouteLatency();
	readonly #demand: FleetDemand;
	readonly #placer: Placer;
	readonly #prober: Prober;
	readonly #probeAgent = createProbeAgent();
	readonly #handler: RequestHandler;
	readonly #clients: ClientConnections;
	readonly #requestLog: RequestLog;
	readonly #frontServer;
	readonly #auxiliaryServers;
	readonly #metrics: Metrics;
	readonly #self: VmRecord;
	readonly #incarnation: number;
	readonly #cancels: Cancel[] = [];
	#isListening = false;
	#isStopping = false;
	#stopped: Promise<void> | undefined;

	constructor(private settings: GatewaySettings, private readonly deps: GatewayDependencies) {
		const {timers, logger, random} = deps;
		const {location, listen, regions} = settings;
		this.#self = {
			...location, entryAddress: listen.entry, peerAddress: listen.peers, heartbeatAddress: listen.heartbeats,
		};
		this.#incarnation = Math.floor(random() * (2 ** 31));
		this.#closeBarrier = new CloseBarrier({
			timers, atEndOfTurn: setImmediate, onError(error) {
				logger.error({event: 'request-error', err: error}, 'work on a request failed unexpectedly');
			},
		});
		this.#queues = new RequestQueues(callback => {
			this.#closeBarrier.run(callback);
		});
		this.#metrics = new Metrics({vm: location.vm});
		this.#breaker = new StoreCircuitBreaker({timers, logger, random});
		this.#state = new FleetState({
			timers, logger, drainMs: () => this.settings.bounds.drainMs, mayHaveExpired: () => this.#breaker.isFailing || timers.nowMs() - this.#breaker.recoveredAtMs < expiryWindowMs || this.#peers.areMostReadersRefused(expiryWindowMs),
		});
		const store = new EraCheckedStore(deps.store, this.#state.storeEra);
		this.#peers = new PeerTable({self: this.#self, timers, logger});
		this.#demand = new FleetDemand({peers: this.#peers, meter: this.#slotDemandMeter, latency: this.#latency});
		this.#replicaSync = new ReplicaSync({
			state: this.#state, client: this.#peerClient, timers, logger, region: location.region, isReading: () => this.#readerRole.isReading, onAdopted: collection => {
				this.#followers.restartWatch(collection);
			},
		});
		this.#gossip = new Gossip({
			table: this.#peers,
			timers,
			logger,
			createHeartbeat: (isFull, scope) => this.#createHeartbeat(isFull, scope),
			isReading: () => this.#readerRole.isReading,
			onHeartbeat: heartbeat => {
				this.#replicaSync.onHeartbeat(heartbeat);
				this.#ratePools.limiter.applyReports(heartbeat.record.vm, heartbeat.incarnation, heartbeat.buckets);
			},
			onServerNotice: (notice, peerAddress) => {
				this.#placer.statements.applyNotice(notice, peerAddress);
			},
			onPoolMessage: content => {
				this.#ratePools.receive(content);
			},
		});
		this.#registration = new Registration({
			store,
			breaker: this.#breaker,
			vms: this.#state.replicas[Collection.vms],
			table: this.#peers,
			client: this.#peerClient,
			seeds: settings.seeds,
			timers,
			logger,
			random,
			needsPeers: () => this.#state.configuration === undefined,
			onDiscovered: () => {
				this.#gossip.send(HeartbeatScope.fleet);
			},
		});
		this.#followers = new StoreFollowers({
			store,
			replicas: this.#state.replicas,
			breaker: this.#breaker,
			timers,
			logger,
			random,
			readerRank: () => this.#readerRole.rank,
			inForceMs: () => inForceMs(this.settings.bounds),
			onChecked: () => {
				this.#gossip.send(HeartbeatScope.region);
			},
		});
		this.#readerRole = new StoreReaderRole({
			self: this.#self, isReady: () => this.isReady, peers: this.#peers, breaker: this.#breaker, followers: [...this.#followers], timers, logger,
		});
		this.#ratePools = new RatePoolExchange({
			gossip: this.#gossip, table: this.#peers, timers, metrics: this.#metrics, incarnation: this.#incarnation, isReady: () => this.isReady, bounds: () => this.settings.bounds,
		});
		this.#placer = new Placer({
			state: this.#state,
			timers,
			logger,
			region: location.region,
			regions: [...new Set(Object.values(regions))],
			regionOf: failureDomain => regions[failureDomain],
			bounds: () => this.settings.bounds,
			vm: location.vm,
			failureDomain: location.failureDomain,
			limitSharersIn: name => this.#peers.limitSharersIn(name),
			maxAnswerHeadBytes: settings.answers.maxHeadBytes,
			typicalMs: service => this.#latency.typicalMs(service, initialDurationMs),
			onLeaving: start => {
				this.#gossip.announce({kind: ServerNoticeKind.leaving, start});
			},
			onLimit: (start, limitPerS) => {
				this.#gossip.announce({kind: ServerNoticeKind.limit, start, limitPerS});
			},
			onSlotAvailable: () => {
				this.#queues.retryAllQueuedRequests();
			},
		});
		this.#prober = new Prober({
			placer: this.#placer,
			timers,
			logger,
			dialect: deps.dialect,
			dispatcher: this.#probeAgent,
			region: location.region,
			healthPathOf: service => this.#state.configuration?.services.get(service)?.healthPath,
			onSlotAvailable: () => {
				this.#queues.retryAllQueuedRequests();
			},
		});
		const context = this.#createContext();
		this.#handler = new RequestHandler(context, () => this.#state.configuration, settings.uploads);
		this.#requestLog = new RequestLog(logger, timers);
		this.#clients = new ClientConnections({
			settings: settings.clients, timers, logger, metrics: this.#metrics,
		});
		this.#frontServer = createFrontServer(this.#handler, this.#clients, this.#requestLog);
		this.#auxiliaryServers = this.#createAuxiliaryServers();
		for (const collection of followedCollections) {
			this.#state.replicas[collection].events.on('change', () => {
				if (this.#readerRole.isReading && this.#isListening) {
					// The heartbeat announces the new revision, upon which the other VMs of the region fetch the change.
					this.#gossip.send(HeartbeatScope.region);
				}
			});
		}

		registerGauges({
			metrics: this.#metrics, placer: this.#placer, handler: this.#handler, state: this.#state, timers,
		});
		this.#state.events.on('configuration', index => {
			this.#ratePools.limiter.configure(index.workspaces.values());
			applyLimits(this.#frontServer, index.configuration.limits);
		});
	}

	/** Whether the directory may name this VM to callers. */
	get isReady(): boolean {
		return this.#isListening && !this.#isStopping && this.#hasReplicas;
	}

	get #hasReplicas(): boolean {
		return this.#state.configuration !== undefined && this.#state.replicas[Collection.backends].isLoaded;
	}

	/** Starts the gateway; resolves when it listens for requests. */
	async start(): Promise<void> {
		const {timers, logger} = this.deps;
		const startedAtMs = timers.nowMs();
		for (const {server, address} of this.#auxiliaryServers) {
			await listenAt(server, address, this.deps);
		}

		await this.#gossip.start();
		this.#followers.run();
		this.#registration.start();
		const eventLoopDelay = new EventLoopDelay({
			metrics: this.#metrics, timers, logger, intervalMs: checkIntervalMs,
		});
		const replicaAges = new ReplicaAgeMonitor({
			replicas: this.#state.replicas, timers, logger, storeAccess: () => this.#readerRole.access, inForceMs: () => inForceMs(this.settings.bounds),
		});
		this.#cancels.push(
			timers.repeat(checkIntervalMs, () => {
				eventLoopDelay.check();
				this.#peers.expire();
				this.#readerRole.update();
				replicaAges.check();
				this.#clients.check();
				this.#requestLog.check();
			}),
			this.#ratePools.start(),
			timers.repeat(steeringIntervalMs, () => {
				this.#slotDemandMeter.sample(steeringIntervalMs);
				this.#placer.steer(this.#demand.byRegion(), steeringIntervalMs, this.#demand.shiftedFractionsOfRegion());
			}),
		);
		this.#prober.start();
		while (!this.#hasReplicas && timers.nowMs() - startedAtMs < maxStartWaitMs) {
			await timers.sleep(20);
		}

		await listenAt(this.#frontServer, this.settings.listen.entry, this.deps);
		this.#isListening = true;
		this.#gossip.send(HeartbeatScope.fleet);
		logger.info({
			event: 'started', vm: this.#self.vm, startMs: Math.round(timers.nowMs() - startedAtMs), processMs: Math.round(performance.now()), configuration: this.#state.configuration?.version,
		}, 'gateway started');
	}

	/** Applies changed bounds; all other settings take effect only at a restart. */
	reload(settings: GatewaySettings): void {
		this.settings = {...this.settings, bounds: settings.bounds};
		this.deps.logger.info({event: 'reloaded', bounds: settings.bounds}, 'settings reloaded');
	}

	/** Stops gracefully within the grace time of the settings. */
	async stop(): Promise<void> {
		this.#stopped ??= this.#stop();
		return this.#stopped;
	}

	async #stop(): Promise<void> {
		const {timers, logger} = this.deps;
		this.#isStopping = true;
		this.#gossip.send(HeartbeatScope.fleet);
		logger.info({event: 'stopping', requests: this.#handler.activeRequests.size}, 'gateway is stopping');
		await stopFrontServer(this.#frontServer, this.#handler, {timers, graceMs: this.settings.bounds.graceMs, clients: this.#clients});
		for (const cancel of this.#cancels) {
			cancel();
		}

		this.#followers.stop();
		this.#prober.stop();
		this.#registration.stop();
		this.#gossip.stop();
		for (const {server} of this.#auxiliaryServers) {
			server.close();
			server.closeAllConnections();
		}

		this.#frontServer.closeAllConnections();
		await Promise.all([this.#peerClient.close(), this.#probeAgent.destroy()]);
		logger.info({event: 'stopped'}, 'gateway stopped');
	}

	#createHeartbeat(isFull: boolean, scope: HeartbeatScope): Omit<Heartbeat, 'sequence'> {
		return {
			record: this.#self,
			incarnation: this.#incarnation,
			isReady: this.isReady,
			storeAccess: this.#readerRole.access,
			...this.#state.advertised(),
			buckets: this.#ratePools.limiter.reports(isFull, scope === HeartbeatScope.fleet),
			slotDemand: this.#demand.own(),
			shiftedFractions: this.#placer.shiftedFractions(),
		};
	}

	#createContext(): ForwardingContext {
		const {timers, random, dialect} = this.deps;
		const requests = this.#metrics.counter('fescuewick_requests_total', 'Requests by result', ['result'] as const);
		const latency = this.#metrics.histogram('fescuewick_request_duration_seconds', 'Time from arrival to the end of the answer', latencyBucketsS);
		return {
			timers,
			random,
			dialect,
			placer: this.#placer,
			limiter: this.#ratePools.limiter,
			tokenBorrower: this.#ratePools.borrower,
			queues: this.#queues,
			closeBarrier: this.#closeBarrier,
			...createAttemptLimits({
				timers, metrics: this.#metrics, settings: () => this.settings, sharerCount: () => this.#peers.limitSharers().length,
			}),
			latency: this.#latency,
			slotDemandMeter: this.#slotDemandMeter,
			isDraining: () => this.#isStopping,
			maxAnswerBytes: this.settings.answers.maxBodyBytes,
			configurationVersion: () => this.#state.configuration?.version,
			onFinished: (request, summary) => {
				if (request !== undefined) {
					this.#handler.onFinished(request);
				}

				requests.inc({result: String(summary.outcome)});
				latency.observe(summary.durationMs / 1000);
				this.#requestLog.write(summary);
			},
		};
	}

	#createAuxiliaryServers() {
		const {listen, bounds} = this.settings;
		const options: AuxiliaryServerOptions = {
			platform: this.deps.platform,
			isReady: () => this.isReady,
			addressesFor: caller => this.#addressesFor(caller),
			directoryTtlMs: Math.min(directoryTtlMs, bounds.maxDirectoryTtlMs),
			state: this.#state,
			members: () => [this.#self, ...this.#peers.records()],
			metrics: this.#metrics,
			clients: this.#clients,
		};
		return createAuxiliaryServers(options, listen);
	}

	#addressesFor(caller: {readonly failureDomain: string; readonly region: string}): string[] {
		const ready = [...this.#peers.alive()].filter(({isReady}) => isReady).map(({record}) => record);
		return entryAddressesFor(caller, this.isReady ? [this.#self, ...ready] : ready);
	}
}
