import {type Server} from 'node:http';
import {
	createIncarnation, incarnationId, PauseDetector, toFescuewickError, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {ShareHolder, type SlotUse} from '@fescuewick/shares';
import {
	ControlClient, MessageType, Role, type SnapshotBody,
} from '@fescuewick/wire';
import {Prober} from './backends/prober.js';
import {LeasedRateLimiter, LeasedSlotGrants} from './limits/leased-shares.js';
import {OrderClaims} from './orders/order-claims.js';
import {BodyBufferBudget} from './request/body-reader.js';
import {InFlightRequests} from './request/in-flight-requests.js';
import {RateWaiter} from './request/rate-waiter.js';
import {RequestHandler} from './request/request-handler.js';
import {createAdminServer} from './server/admin-server.js';
import {CloseBarrier} from './server/close-barrier.js';
import {EntryMetrics} from './server/entry-metrics.js';
import {closeFrontServer, createFrontServer} from './server/front-server.js';
import {LoadReporter} from './server/load-reporter.js';
import {ServiceRegistry} from './server/service-registry.js';
import {
	entrySettingsSchema, type EntryDeps, type EntrySettings, type EntrySettingsInput,
} from './settings.js';
import {FleetView} from './view/fleet-view.js';

const drainCheckIntervalMs = 50;
/** Timeout for reporting order outcomes to the control daemon after the last request. The daemon may never return; its successor then answers repeats of unreported orders with 1304 (outcome unknown). */
const drainReportTimeoutMs = 5000;
/** Running requests of a revoked key are cancelled this long after the revocation arrives. */
const revokedGraceMs = 2000;
const shareTimeoutMs = 1000;
/** Longest time after the first grants for which a VM without shares of all workspaces counts as not ready. */
const maxShareWaitMs = 15_000;
const servingCheckIntervalMs = 100;

/** A running entry daemon. */
export type EntryDaemon = {
	readonly url: string;
	readonly adminUrl: string;
	/** Takes the VM out of service without interrupting requests, up to the drain time limit; resolves when everything is closed. */
	drain(): Promise<void>;
	/** Stops at once; in-flight requests are aborted. */
	stop(): Promise<void>;
};

/** Starts the request daemon of an entry VM; rejects if an address is in use. */
export async function startEntry(settings: EntrySettingsInput, deps: EntryDeps): Promise<EntryDaemon> {
	const daemon = new Entry(entrySettingsSchema.parse(settings), deps);
	await daemon.listen();
	return daemon;
}

class Entry implements EntryDaemon {
	url = '';
	adminUrl = '';
	readonly #timers: TimerService;
	readonly #logger: Logger;
	readonly #pauseDetector: PauseDetector;
	readonly #view: FleetView;
	readonly #control: ControlClient;
	readonly #holder: ShareHolder;
	readonly #claims: OrderClaims;
	readonly #services: ServiceRegistry;
	readonly #prober: Prober;
	readonly #loadReporter: LoadReporter;
	readonly #metrics: EntryMetrics;
	readonly #inFlight = new InFlightRequests();
	readonly #frontServer: Server;
	readonly #adminServer: Server;
	#draining: Promise<void> | undefined;
	/** Monotonic time by which the drain will have ended; undefined before a drain. */
	#drainEndsByMs: number | undefined;
	#stopped = false;
	#firstGrantsAtMs: number | undefined;
	#reportedServing: boolean | undefined;
	#areSharesReady = false;
	readonly #cancelServingCheck: Cancel;

	constructor(private readonly settings: EntrySettings, deps: EntryDeps) {
		const {timers, logger, transport, random} = deps;
		const {location, limits} = settings;
		this.#timers = timers;
		this.#logger = logger;
		this.#metrics = new EntryMetrics(deps.metrics);
		this.#pauseDetector = new PauseDetector(timers);
		this.#view = new FleetView(timers, logger, location);
		const incarnation = createIncarnation(location.vm, timers);
		this.#holder = new ShareHolder({
			holder: incarnationId(incarnation),
			timers,
			pauses: this.#pauseDetector,
			source: {
				request: async body => this.#control.request(MessageType.shareRequest, body, shareTimeoutMs),
				returnShares: async body => {
					await this.#control.request(MessageType.shareReturn, body, shareTimeoutMs);
				},
			},
			use: () => this.#slotUse(),
			onGrants: count => {
				// `maxShareWaitMs` counts from the first grants: a new allocator returns none until those of its predecessor have expired.
				this.#firstGrantsAtMs ??= count > 0 ? timers.nowMs() : undefined;
				this.#services.dispatch();
			},
			onError(error) {
				const {code, message} = toFescuewickError(error);
				logger.debug({code, reason: message}, 'renewal of shares failed');
			},
		});
		const rateLimiter = new LeasedRateLimiter(this.#holder);
		const slotGrants = new LeasedSlotGrants(this.#holder);
		this.#services = new ServiceRegistry({
			timers, logger, random, limits, view: this.#view, slotGrants, metrics: this.#metrics,
		});
		this.#control = new ControlClient({
			timers,
			transport,
			logger,
			address: settings.controlAddress,
			role: Role.entry,
			location,
			incarnation,
			onSnapshot: snapshot => {
				this.#applySnapshot(snapshot);
			},
			onConnected: () => {
				// A restarted control daemon does not know whether this VM is ready, so the state is sent again.
				this.#reportedServing = undefined;
			},
			onKeysAge: (revision, keysAgeMs) => {
				this.#view.confirmKeys(revision, keysAgeMs);
			},
		});
		this.#claims = new OrderClaims(this.#control, timers, logger, limits.claimMs);
		const handler = new RequestHandler({
			timers,
			closeBarrier: new CloseBarrier({
				timers, atEndOfTurn: setImmediate, onError(error) {
					logger.error({err: error}, 'work on a request failed unexpectedly');
				},
			}),
			logger,
			limits,
			view: this.#view,
			rateLimiter,
			rateWaiter: new RateWaiter({
				timers,
				rateLimiter,
				rateWaitMs: limits.rateWaitMs,
				maxWaiting: workspace => 1 + Math.ceil((this.#view.configuration?.workspaces.get(workspace)?.ratePerS ?? 0) * limits.rateWaitMs / 1000),
				onShortage: () => {
					this.#holder.renewEarly();
				},
			}),
			services: this.#services,
			claims: this.#claims,
			inFlight: this.#inFlight,
			bodyBufferBudget: new BodyBufferBudget(limits.maxHeldBytes),
			metrics: this.#metrics,
			incarnation: incarnationId(incarnation),
			closing: () => this.#draining !== undefined,
		});
		this.#frontServer = createFrontServer(handler, this.#inFlight, limits);
		this.#adminServer = createAdminServer({
			isReady: () => this.#isReady(), metrics: this.#metrics, sample: () => {
				this.#sample();
			},
		});
		this.#prober = new Prober(timers, settings.probePath, () => [...this.#services.schedulers].map(({pool}) => pool));
		this.#cancelServingCheck = timers.repeat(servingCheckIntervalMs, () => {
			this.#reportServing();
		});
		this.#loadReporter = new LoadReporter(timers, this.#control, location, this.#services);
	}

	async listen(): Promise<void> {
		const {listen, adminListen} = this.settings;
		this.url = await listenOn(this.#frontServer, listen);
		this.adminUrl = await listenOn(this.#adminServer, adminListen);
	}

	async drain(): Promise<void> {
		this.#draining ??= this.#drain();
		return this.#draining;
	}

	async stop(): Promise<void> {
		if (this.#stopped) {
			return;
		}

		this.#stopped = true;
		this.#cancelServingCheck();
		void this.#holder.stop();
		this.#prober.stop();
		this.#loadReporter.stop();
		this.#claims.stop();
		this.#pauseDetector.stop();
		const closed = [closeServer(this.#frontServer), closeServer(this.#adminServer)];
		this.#frontServer.closeAllConnections();
		this.#adminServer.closeAllConnections();
		this.#services.stop();
		this.#control.stop();
		await Promise.all(closed);
	}

	async #drain(): Promise<void> {
		const {limits} = this.settings;
		const startedAtMs = this.#timers.nowMs();
		this.#logger.info({inFlight: this.#inFlight.count}, 'drain started');
		this.#drainEndsByMs = startedAtMs + limits.drainAcceptMs + limits.drainMaxMs + drainReportTimeoutMs;
		this.#reportState(true);
		await this.#timers.sleep(limits.drainAcceptMs);
		await closeFrontServer(this.#frontServer, this.#timers, limits.drainMaxMs);
		const drainLimitAtMs = startedAtMs + limits.drainAcceptMs + limits.drainMaxMs;
		while (this.#inFlight.count > 0 && this.#timers.nowMs() < drainLimitAtMs) {
			await this.#timers.sleep(drainCheckIntervalMs);
		}

		const reportLimitAtMs = this.#timers.nowMs() + drainReportTimeoutMs;
		while (this.#claims.pendingReports > 0 && this.#timers.nowMs() < reportLimitAtMs) {
			await this.#timers.sleep(drainCheckIntervalMs);
		}

		await this.#holder.stop();

		const durationMs = this.#timers.nowMs() - startedAtMs;
		this.#metrics.recordDrain(durationMs / 1000);
		this.#logger.info({durationMs: Math.round(durationMs), inFlight: this.#inFlight.count}, 'drain finished');
		this.#reportState(true);
		await this.stop();
	}

	#reportState(draining: boolean): void {
		const endsWithinMs = this.#drainEndsByMs === undefined ? undefined : Math.max(0, this.#drainEndsByMs - this.#timers.nowMs());
		this.#control.send(MessageType.drainState, {draining, inFlight: this.#inFlight.count, ...(endsWithinMs === undefined ? {} : {endsWithinMs})});
	}

	#applySnapshot(snapshot: SnapshotBody): void {
		const isFirst = this.#view.configuration === undefined;
		const revoked = this.#view.applySnapshot(snapshot);
		this.#services.updateBackends();
		void this.#prober.probeAll(true);
		this.#holder.track(this.#view.configuration?.workspaces.keys() ?? [], this.#view.backends.map(backend => backend.server));
		for (const digestHex of revoked) {
			this.#inFlight.revoke(digestHex, 'queued');
			this.#timers.after(revokedGraceMs, () => {
				this.#inFlight.revoke(digestHex, 'running');
			});
		}

		if (isFirst && this.#view.configuration !== undefined) {
			this.#holder.start();
		}
	}

	#isReady(): boolean {
		// Until its keys are confirmed for the first time, the VM refuses every keyed request.
		return this.#view.configuration !== undefined && this.#hasShares() && this.#draining === undefined && !this.#stopped && Number.isFinite(this.#view.keysAgeMs());
	}

	#hasShares(): boolean {
		if (this.#firstGrantsAtMs === undefined) {
			return false;
		}

		// A workspace whose burst is too small for all VMs may never get a share here, so the wait is limited.
		const hasSlots = [...this.#services.schedulers].every(({pool}) => [...pool.backends].length === 0 || pool.usableSlots() > 0);
		this.#areSharesReady ||= (hasSlots && this.#holder.coversAllWorkspaces) || this.#timers.nowMs() - this.#firstGrantsAtMs > maxShareWaitMs;
		return this.#areSharesReady;
	}

	/** Reports to the control daemon whether look-ups may return this VM. */
	#reportServing(): void {
		const serving = this.#isReady();
		if (serving !== this.#reportedServing && this.#control.connected) {
			this.#reportedServing = serving;
			this.#reportState(!serving);
		}
	}

	* #slotUse(): Generator<SlotUse> {
		for (const scheduler of this.#services.schedulers) {
			const backends = [...scheduler.pool.backends];
			const waiting = Math.ceil(scheduler.queue.size / Math.max(1, backends.length));
			for (const backend of backends) {
				yield {
					server: backend.name, inFlight: backend.inFlight, connections: backend.connections.size, queued: waiting,
				};
			}
		}
	}

	#sample(): void {
		this.#metrics.sample(this.#inFlight.count, [...this.#services.schedulers].map(scheduler => ({service: scheduler.service, queued: scheduler.queue.size, slots: scheduler.pool.usableSlots()})));
	}
}

async function listenOn(server: Server, {host, port}: {host: string; port: number}): Promise<string> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const bound = server.address();
	return `http://${host.includes(':') ? `[${host}]` : host}:${typeof bound === 'object' && bound !== null ? bound.port : port}`;
}

async function closeServer(server: Server): Promise<void> {
	if (server.listening) {
		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
	}
}
