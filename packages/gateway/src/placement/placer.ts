import {hashFraction} from '@fescuewick/core';
import {ConnectionPool} from '@fescuewick/entry/http';
import {coldAllowancePerS} from '../limits/cold-allowance.js';
import {serverLimitShare, SharerRanks, type LimitShare} from '../limits/server-limit.js';
import {Backend, ConditionEvent} from './backend.js';
import {BackendCandidate} from './backend-candidate.js';
import {BackendStatements} from './backend-statements.js';
import {
	chooseByAffinity, chooseFastest, chooseLeastLoaded, type Choice,
} from './choose-backend.js';
import {chooseDomainFirst} from './domain-preference.js';
import {PlacementFailure, type Placement, type PlacementRequest} from './placement.js';
import {
	RegionPlan, type ShiftedFractions, type RegionPlanOptions, type ServerLoad,
} from './region-plan.js';
import {type ServerStart} from './server-statements.js';
import {ServiceBackends} from './service-backends.js';
import {SpilloverLimiter} from './spillover-limiter.js';
import {type RegionalDemand} from './slot-demand-meter.js';

export * from './placement.js';

/** Connect timeout for backend servers; several round trips between regions. */
const connectTimeoutMs = 500;
/** Fraction of the limit on shifts between regions that may be used by spillover, requests that find no capacity in their region. */
const spilloverFraction = 0.25;
/** Step of the start of the search for the fastest server; the golden ratio spreads the starts evenly over the servers. */
const searchStartStep = 0.618_033_988_75;

/** Shortest time after which queued requests are retried because a limit allows another request, in milliseconds. */
const minLimitRetryMs = 50;

/** Limits on placement. */
export type PlacementBounds = {
	/** Maximum fraction of a region's requests that may change the region between two windows. */
	readonly shiftMost: number;
	/** Factor by which requests to a cold server may exceed its `coldRatePerS`, and the count allowed on top. */
	readonly coldOvershoot: number;
	readonly coldSlack: number;
};

type PlacerOptions = Omit<RegionPlanOptions, 'bounds'> & {
	readonly regionOf: (failureDomain: string) => string | undefined;
	readonly bounds: () => PlacementBounds;
	readonly vm: string;
	readonly failureDomain: string;
	/** Names of the VMs of a region that hold a share of the limits, because they may send to its servers; this one included if it is in that region. */
	readonly limitSharersIn: (region: string) => readonly string[];
	/** Longest head of a server's answer, in bytes. */
	readonly maxAnswerHeadBytes: number;
	/** Called when a server may have capacity again. */
	readonly onSlotAvailable: () => void;
	/** Typical time that a request occupies a slot of the service, in milliseconds. */
	readonly typicalMs: (service: string) => number;
	/** Called when an answer to this VM said that a server is leaving. */
	readonly onLeaving: (start: ServerStart) => void;
	/** Called when an answer to this VM named a limit that the VMs of the region may not know, or none any more (undefined). */
	readonly onLimit: (start: ServerStart, limitPerS: number | undefined) => void;
};

/** Tracks the backend servers and chooses one for each request. */
export class Placer {
	readonly #backends = new Map<string, Backend>();
	readonly #byService = new ServiceBackends();
	readonly #spilloverLimiters = new Map<string, SpilloverLimiter>();
	readonly #sharerRanks: SharerRanks;
	/** Whether a connection to a server is available and its limits let this VM send a request now. */
	readonly #canAccept = (backend: Backend, nowMs: number): boolean => backend.connections.canAcquire()
		&& (!backend.isCold(nowMs) || this.#canAcceptCold(backend, nowMs))
		&& this.#limitWaitMs(backend, nowMs) === 0;

	#isLimitRetryScheduled = false;
	/** Where the search for the fastest server starts, as a fraction of the servers; VMs start in different places. */
	#searchStart: number;
	/** What servers said about themselves. */
	readonly statements: BackendStatements;
	readonly #plan: RegionPlan;

	constructor(private readonly options: PlacerOptions) {
		this.#plan = new RegionPlan(options);
		this.#searchStart = hashFraction(options.vm);
		this.#sharerRanks = new SharerRanks(options.vm);
		this.statements = new BackendStatements({...options, backendOf: id => this.#backends.get(id)});
		options.state.events.on('backends', () => {
			this.#syncBackends();
		});
		options.state.events.on('evacuation', ({failureDomain, isEvacuated}) => {
			if (!isEvacuated) {
				this.#onDomainRestored(failureDomain);
			}
		});
	}

	/** The region of this VM. */
	get region(): string {
		return this.options.region;
	}

	get backends(): Iterable<Backend> {
		return this.#backends.values();
	}

	/** Total slots of the usable servers of a service in this region, as far as their limits let requests of `serviceMs` fill them. */
	slotsInRegion(service: string, serviceMs: number): number {
		const nowMs = this.options.timers.nowMs();
		return this.#byService.inRegion(service, this.options.region).reduce((sum, backend) => sum + (this.#isUsable(backend) ? backend.usableSlots(nowMs, serviceMs) : 0), 0);
	}

	/** The region assigned to a request of this VM's callers; `random`, in [0, 1), is used for requests without an affinity key. */
	regionFor(service: string, affinityKey: string | undefined, random: number): string {
		this.#spilloverLimiterOf(service).recordRequest();
		return this.#plan.regionFor(service, affinityKey === undefined ? random : hashFraction(affinityKey));
	}

	/** Adapts the fractions of requests sent to other regions, and the fractions of objects admitted, to the demand in all regions. */
	steer(demand: RegionalDemand, elapsedMs: number, peerFractions: ShiftedFractions | undefined): void {
		const nowMs = this.options.timers.nowMs();
		for (const service of this.#byService.services) {
			const loads = new Map<string, ServerLoad>();
			for (const backend of this.#byService.of(service).filter(backend => this.#isUsable(backend))) {
				const {slots, requests} = loads.get(backend.region) ?? {slots: 0, requests: 0};
				loads.set(backend.region, {slots: slots + backend.usableSlots(nowMs, this.options.typicalMs(service)), requests: requests + this.#loadOf(backend, nowMs)});
			}

			this.#plan.update(service, {
				loads, demand, elapsedMs, peerFractions: peerFractions && new Map(Object.entries(peerFractions[service] ?? {})),
			});
		}
	}

	/** Current fractions of requests sent to other regions, by service and region. */
	shiftedFractions(): ShiftedFractions {
		return this.#plan.shiftedFractions();
	}

	/** Chooses the server for a request; the caller must send the request immediately. */
	place(request: PlacementRequest): Placement | PlacementFailure {
		const {region} = this.options;
		const {service, homeRegions, boundRegion} = request;
		const isAdmitted = this.#plan.admits(request);
		const isAllowed = (name: string) => homeRegions?.includes(name) !== false && (isAdmitted || name !== boundRegion);
		const assigned = request.region === undefined || request.region === region ? undefined : this.#chooseInRegion(request.region, request, isAllowed);
		if (assigned !== undefined) {
			return {...assigned, isRemote: true};
		}

		const local = this.#chooseInRegion(region, request, isAllowed);
		if (local !== undefined) {
			return {...local, isRemote: false};
		}

		const limiter = this.#spilloverLimiterOf(service);
		const hasLocal = isAllowed(region) && this.#byService.inRegion(service, region).some(backend => this.#isEligible(backend, request));
		// With no server in the region all requests have to leave it, so the spillover limit does not apply.
		const maySpillOver = !hasLocal || limiter.hasCredit;
		const remote = maySpillOver ? this.#choose(this.#byService.of(service), request, backend => backend.region !== region && isAllowed(backend.region)) : undefined;
		if (remote === undefined) {
			return this.#failureOf(request, isAllowed);
		}

		if (hasLocal) {
			limiter.recordSpillover();
		}

		return {...remote, isRemote: true};
	}

	/** Why no server was chosen for a request; queued requests are tried again when the limit of a server allows it. */
	#failureOf(request: PlacementRequest, isAllowed: (region: string) => boolean): PlacementFailure {
		const eligible = this.#byService.of(request.service).filter(backend => request.homeRegions?.includes(backend.region) !== false && this.#isEligible(backend, request));
		const allowed = eligible.filter(({region}) => isAllowed(region));
		if (allowed.length === 0) {
			return eligible.length === 0 ? PlacementFailure.none : PlacementFailure.notAdmitted;
		}

		this.#scheduleLimitRetry(allowed);
		return PlacementFailure.full;
	}

	#chooseInRegion(region: string, request: PlacementRequest, isAllowed: (region: string) => boolean): Omit<Placement, 'isRemote'> | undefined {
		if (!isAllowed(region)) {
			return undefined;
		}

		const servers = this.#byService.inRegion(request.service, region);
		const choose = (mayUse: (backend: Backend) => boolean) => this.#choose(servers, request, backend => backend.region === region && mayUse(backend));
		return request.prefersOwnDomain === true && region === this.options.region ? chooseDomainFirst(this.options.failureDomain, choose) : choose(() => true);
	}

	/** Chooses among allowed servers. With an affinity key, all servers of the service are considered in the order of the key. */
	#choose(backends: readonly Backend[], request: PlacementRequest, isAllowed: (backend: Backend) => boolean): Omit<Placement, 'isRemote'> | undefined {
		const nowMs = this.options.timers.nowMs();
		const {service, affinityKey} = request;
		const choice = affinityKey === undefined
			? this.#chooseAny(backends, request, isAllowed)
			: chooseByAffinity(this.#candidatesInOrder(this.#byService.orderOf(service, affinityKey), request, isAllowed));
		return choice && {
			backend: choice.server.backend, reason: choice.reason, load: choice.server.load, limitPerS: choice.server.backend.limitPerS(nowMs),
		};
	}

	/** Chooses among all servers; how slow their machines are counts only if one of them reports it. */
	#chooseAny(backends: readonly Backend[], request: PlacementRequest, isAllowed: (backend: Backend) => boolean): Choice<BackendCandidate> | undefined {
		const candidates = this.#freeCandidates(backends, request, isAllowed);
		if (!backends.some(({reportsSlowness}) => reportsSlowness)) {
			return chooseLeastLoaded(candidates);
		}

		this.#searchStart = (this.#searchStart + searchStartStep) % 1;
		return chooseFastest(candidates, this.#searchStart);
	}

	/** Evaluates the servers lazily, because a request usually goes to the first of hundreds. */
	* #candidatesInOrder(order: readonly Backend[], request: PlacementRequest, isAllowed: (backend: Backend) => boolean): Generator<BackendCandidate> {
		const nowMs = this.options.timers.nowMs();
		for (const backend of order) {
			if (isAllowed(backend) && this.#isEligible(backend, request)) {
				yield new BackendCandidate(backend, this.#loadOf(backend, nowMs), nowMs, this.#canAccept);
			}
		}
	}

	/** The servers with a free slot; of the others nothing but the load is evaluated. */
	#freeCandidates(backends: readonly Backend[], request: PlacementRequest, isAllowed: (backend: Backend) => boolean): BackendCandidate[] {
		const nowMs = this.options.timers.nowMs();
		const candidates: BackendCandidate[] = [];
		for (const backend of backends) {
			if (isAllowed(backend) && this.#isEligible(backend, request)) {
				const load = this.#loadOf(backend, nowMs);
				if (load < backend.slots) {
					candidates.push(new BackendCandidate(backend, load, nowMs, this.#canAccept));
				}
			}
		}

		return candidates;
	}

	#loadOf(backend: Backend, nowMs: number): number {
		return backend.load(nowMs, () => this.#senderCountOf(backend));
	}

	/** Time until the limit of a server lets this VM send a request, in milliseconds; 0 without a limit. */
	#limitWaitMs(backend: Backend, nowMs: number): number {
		return backend.limitWaitMs(nowMs, limitPerS => this.#limitShareOf(backend, limitPerS));
	}

	/** This VM's part of a server's limit. Only VMs of its region have one, so that they can divide the limit among themselves. */
	#limitShareOf({id, region}: Backend, limitPerS: number): LimitShare {
		const sharers = this.options.limitSharersIn(region);
		return serverLimitShare({limitPerS, rank: this.#sharerRanks.rankOf(id, sharers), sharers: sharers.length});
	}

	/** Reports a slot as available once the limit of one of these servers lets this VM send again. */
	#scheduleLimitRetry(backends: readonly Backend[]): void {
		const {timers, onSlotAvailable} = this.options;
		const nowMs = timers.nowMs();
		const waitMs = Math.min(...backends.map(backend => this.#limitWaitMs(backend, nowMs)).filter(ms => ms > 0));
		if (Number.isFinite(waitMs) && !this.#isLimitRetryScheduled) {
			this.#isLimitRetryScheduled = true;
			timers.after(Math.max(waitMs, minLimitRetryMs), () => {
				this.#isLimitRetryScheduled = false;
				onSlotAvailable();
			});
		}
	}

	/** Number of VMs assumed to send to a server before its load is known: those of its region, which most of its callers use, and this one. */
	#senderCountOf({region}: Backend): number {
		return this.options.limitSharersIn(region).length + (region === this.options.region ? 0 : 1);
	}

	#canAcceptCold(backend: Backend, nowMs: number): boolean {
		const {region, bounds, vm, limitSharersIn, state} = this.options;
		const coldRatePerS = state.configuration?.services.get(backend.record.service)?.coldRatePerS ?? 0;
		if (coldRatePerS === 0) {
			return true;
		}

		// Only VMs of its region send to a cold server, so that they can divide its cold rate among themselves.
		if (backend.region !== region) {
			return false;
		}

		const {coldOvershoot, coldSlack} = bounds();
		const allowance = coldAllowancePerS({
			coldRatePerS, overshoot: coldOvershoot, slack: coldSlack, server: backend.id, vm, limitSharers: limitSharersIn(region),
		});
		return backend.coldRequests.count(nowMs) < allowance;
	}

	#isUsable(backend: Backend): boolean {
		return backend.isUsable && !this.options.state.isEvacuated(backend.record.failureDomain);
	}

	/** Whether a server is usable and has not been tried already for the request. */
	#isEligible(backend: Backend, {excluded}: PlacementRequest): boolean {
		return this.#isUsable(backend) && !excluded.has(backend.id);
	}

	#spilloverLimiterOf(service: string): SpilloverLimiter {
		let limiter = this.#spilloverLimiters.get(service);
		if (limiter === undefined) {
			limiter = new SpilloverLimiter(this.options.bounds().shiftMost * spilloverFraction);
			this.#spilloverLimiters.set(service, limiter);
		}

		return limiter;
	}

	/** Marks the servers of a domain as cold when its evacuation ends; their records may be updated later than that. */
	#onDomainRestored(failureDomain: string): void {
		const {timers, state} = this.options;
		for (const backend of this.#backends.values()) {
			if (backend.record.failureDomain === failureDomain) {
				backend.markCold(state.configuration?.services.get(backend.record.service)?.coldStartMs ?? 0, timers.nowMs());
			}
		}

		this.options.onSlotAvailable();
	}

	#syncBackends(): void {
		const {state, regionOf, logger} = this.options;
		for (const [id, backend] of this.#backends) {
			const known = state.backends.get(id);
			if (known?.record.address !== backend.record.address || known.record.service !== backend.record.service) {
				this.#backends.delete(id);
				this.#sharerRanks.delete(id);
				// In-flight requests keep their connections; the pool closes each one when it is returned.
				backend.connections.closeIdle();
			}
		}

		for (const [id, known] of state.backends) {
			const backend = this.#backends.get(id);
			const region = regionOf(known.record.failureDomain);
			if (backend !== undefined) {
				backend.update(known);
				this.statements.apply(backend);
			} else if (region === undefined) {
				logger.warn({event: 'backend-ignored', server: id, failureDomain: known.record.failureDomain}, 'backend server ignored: its failure domain belongs to no known region');
			} else {
				const created = new Backend(known, region, this.#connect(known.record.address, known.record.service));
				this.#backends.set(id, created);
				this.statements.apply(created);
			}
		}

		this.#byService.replace(this.#backends.values());
		this.options.onSlotAvailable();
	}

	#connect(address: string, service: string): ConnectionPool {
		const {timers, state, onSlotAvailable} = this.options;
		return new ConnectionPool(`http://${address}`, {
			timers,
			connectTimeoutMs,
			maxHeadBytes: this.options.maxAnswerHeadBytes,
			// `maxConnections` limits all VMs together, and each VM uses a fraction of it; half of the limit is headroom for VMs that learn of each other too late.
			limit: () => Math.max(4, Math.floor((state.configuration?.services.get(service)?.maxConnections ?? 64) / 8)),
			onCapacityFreed: onSlotAvailable,
		});
	}

	/** Marks a server as unreachable after a failed connection or probe. */
	markUnreachable(backend: Backend, reason: string): void {
		if (backend.apply(ConditionEvent.unreachable)) {
			this.options.logger.warn({event: 'backend-down', server: backend.id, reason}, 'backend server is unreachable');
			backend.connections.closeIdle();
		}
	}

	/** Time until the first pause ends of a server that would otherwise be usable, in milliseconds; undefined if none asks for a pause. */
	pauseMs(service: string, homeRegions: readonly string[] | undefined): number | undefined {
		const ends = this.#byService.of(service)
			.filter(backend => backend.isPausing && homeRegions?.includes(backend.region) !== false && !this.options.state.isEvacuated(backend.record.failureDomain))
			.map(({pausedUntilMs}) => pausedUntilMs);
		return ends.length === 0 ? undefined : Math.max(0, Math.min(...ends) - this.options.timers.nowMs());
	}

	/** Marks a server as replaced when another server answered at its address. */
	markReplaced(backend: Backend): void {
		if (backend.apply(ConditionEvent.misdirected)) {
			this.options.logger.warn({event: 'backend-replaced', server: backend.id, address: backend.record.address}, 'another server answers at the address of this backend server');
			backend.connections.closeIdle();
		}
	}
}
