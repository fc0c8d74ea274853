import {hashFraction, rendezvousOrder} from '@fescuewick/core';
import {ConnectionPool} from '@fescuewick/entry/http';
import {coldAllowancePerS} from '../limits/cold-allowance.js';
import {serverLimitShare, SharerRanks, type LimitShare} from '../limits/server-limit.js';
import {Backend, ConditionEvent} from './backend.js';
import {BackendStatements} from './backend-statements.js';
import {
	chooseByAffinity, chooseLeastLoaded, type Candidate, type ChoiceReason,
} from './choose-backend.js';
import {chooseDomainFirst} from './domain-preference.js';
import {
	RegionPlan, type ShiftedFractions, type RegionPlanOptions, type ServerLoad,
} from './region-plan.js';
import {type ServerStart} from './server-statements.js';
import {SpilloverLimiter} from './spillover-limiter.js';
import {type RegionalDemand} from './slot-demand-meter.js';

/** Connect timeout for backend servers; several round trips between regions. */
const connectTimeoutMs = 500;
/** Capacity of the cache of rendezvous orders; the oldest half is evicted when it is full. */
const maxCachedOrders = 4096;
/** Fraction of the limit on shifts between regions that may be used by spillover, requests that find no capacity in their region. */
const spilloverFraction = 0.25;

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

/** Inputs to the choice of a backend server for a request. */
export type PlacementRequest = {
	readonly service: string;
	/** Object that the request concerns; undefined to choose the least loaded server. */
	readonly affinityKey: string | undefined;
	readonly homeRegions: readonly string[] | undefined;
	/** The home region that the request is bound to; undefined without home regions. */
	readonly boundRegion: string | undefined;
	/** Region that steering assigned to the request; undefined for the VM's own. */
	readonly region: string | undefined;
	/** Whether a server of this VM's failure domain is preferred to others of the region. */
	readonly prefersOwnDomain?: boolean;
	/** Ids of the servers that were tried already. */
	readonly excluded: ReadonlySet<string>;
};

/** The chosen server for a request. */
export type Placement = {
	readonly backend: Backend;
	readonly reason: ChoiceReason;
	readonly load: number;
	readonly isRemote: boolean;
	/** Limit that the server named, in requests a second from all VMs; undefined without one. */
	readonly limitPerS: number | undefined;
};

/** Why no server was chosen. */
export enum PlacementFailure {
	/** All servers that may run the request are full. */
	full = 'full',
	/** No server may run the request. */
	none = 'none',
	/** The region that the request is bound to does not admit its object now, and no other region may run the request. */
	notAdmitted = 'not-admitted',
}

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

type BackendCandidate = Candidate & {readonly backend: Backend};

/** Tracks the backend servers and chooses one for each request. */
export class Placer {
	readonly #backends = new Map<string, Backend>();
	readonly #byService = new Map<string, Backend[]>();
	readonly #cachedOrders = new Map<string, string[]>();
	readonly #spilloverLimiters = new Map<string, SpilloverLimiter>();
	readonly #sharerRanks: SharerRanks;
	#isLimitRetryScheduled = false;
	/** What servers said about themselves. */
	readonly statements: BackendStatements;
	readonly #plan: RegionPlan;

	constructor(private readonly options: PlacerOptions) {
		this.#plan = new RegionPlan(options);
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
		return this.#usable(service).reduce((sum, backend) => sum + (backend.region === this.options.region ? backend.usableSlots(nowMs, serviceMs) : 0), 0);
	}

	/** The region assigned to a request of this VM's callers; `random`, in [0, 1), is used for requests without an affinity key. */
	regionFor(service: string, affinityKey: string | undefined, random: number): string {
		this.#spilloverLimiterOf(service).recordRequest();
		return this.#plan.regionFor(service, affinityKey === undefined ? random : hashFraction(affinityKey));
	}

	/** Adapts the fractions of requests sent to other regions, and the fractions of objects admitted, to the demand in all regions. */
	steer(demand: RegionalDemand, elapsedMs: number, peerFractions: ShiftedFractions | undefined): void {
		const nowMs = this.options.timers.nowMs();
		for (const service of this.#byService.keys()) {
			const loads = new Map<string, ServerLoad>();
			for (const backend of this.#usable(service)) {
				const {slots, requests} = loads.get(backend.region) ?? {slots: 0, requests: 0};
				loads.set(backend.region, {slots: slots + backend.usableSlots(nowMs, this.options.typicalMs(service)), requests: requests + backend.load(nowMs, () => this.#senderCountOf(backend))});
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
		const allowed = this.#usable(request.service).filter(backend => !request.excluded.has(backend.id) && request.homeRegions?.includes(backend.region) !== false);
		if (allowed.length === 0) {
			return PlacementFailure.none;
		}

		const isAdmitted = this.#plan.admits(request);
		const admitted = isAdmitted ? allowed : allowed.filter(backend => backend.region !== request.boundRegion);
		if (admitted.length === 0) {
			return PlacementFailure.notAdmitted;
		}

		const assigned = request.region === undefined || request.region === region ? undefined : this.#choose(admitted.filter(backend => backend.region === request.region), request);
		if (assigned !== undefined) {
			return {...assigned, isRemote: true};
		}

		const local = admitted.filter(backend => backend.region === region);
		const choice = this.#choose(local, request);
		if (choice !== undefined) {
			return {...choice, isRemote: false};
		}

		const limiter = this.#spilloverLimiterOf(request.service);
		// With no server in the region all requests have to leave it, so the spillover limit does not apply.
		const maySpillOver = local.length === 0 || limiter.hasCredit;
		const remote = maySpillOver ? this.#choose(admitted.filter(backend => backend.region !== region), request) : undefined;
		if (remote === undefined) {
			this.#scheduleLimitRetry(admitted);
			return PlacementFailure.full;
		}

		if (local.length > 0) {
			limiter.recordSpillover();
		}

		return {...remote, isRemote: true};
	}

	/** Chooses among servers of one region, or of all other regions. */
	#choose(backends: readonly Backend[], request: PlacementRequest): Omit<Placement, 'isRemote'> | undefined {
		return request.prefersOwnDomain === true
			? chooseDomainFirst(backends, this.options.failureDomain, servers => this.#chooseAmong(servers, request))
			: this.#chooseAmong(backends, request);
	}

	#chooseAmong(backends: readonly Backend[], {service, affinityKey}: PlacementRequest): Omit<Placement, 'isRemote'> | undefined {
		const nowMs = this.options.timers.nowMs();
		const choice = affinityKey === undefined
			? chooseLeastLoaded(backends.map(backend => this.#candidateOf(backend, nowMs)))
			: chooseByAffinity(this.#candidatesInOrder(backends, this.#orderOf(service, affinityKey), nowMs));
		return choice && {
			backend: choice.server.backend, reason: choice.reason, load: choice.server.load, limitPerS: choice.server.backend.limitPerS(nowMs),
		};
	}

	/** Evaluates the servers lazily, because a request usually goes to the first of hundreds. */
	* #candidatesInOrder(backends: readonly Backend[], order: readonly string[], nowMs: number): Generator<BackendCandidate> {
		const byId = new Map(backends.map(backend => [backend.id, backend]));
		for (const id of order) {
			const backend = byId.get(id);
			if (backend !== undefined) {
				yield this.#candidateOf(backend, nowMs);
			}
		}
	}

	#candidateOf(backend: Backend, nowMs: number): BackendCandidate {
		return {
			id: backend.id,
			backend,
			load: backend.load(nowMs, () => this.#senderCountOf(backend)),
			slots: backend.slots,
			isDeprioritized: backend.isDeprioritized(nowMs),
			canAccept: backend.connections.canAcquire() && (!backend.isCold(nowMs) || this.#canAcceptCold(backend, nowMs)) && this.#limitWaitMs(backend, nowMs) === 0,
		};
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

	#usable(service: string): Backend[] {
		return (this.#byService.get(service) ?? []).filter(backend => backend.isUsable && !this.options.state.isEvacuated(backend.record.failureDomain));
	}

	#orderOf(service: string, affinityKey: string): string[] {
		const key = `${service}\u0000${affinityKey}`;
		let order = this.#cachedOrders.get(key);
		if (order === undefined) {
			if (this.#cachedOrders.size >= maxCachedOrders) {
				for (const old of [...this.#cachedOrders.keys()].slice(0, maxCachedOrders / 2)) {
					this.#cachedOrders.delete(old);
				}
			}

			order = rendezvousOrder(affinityKey, (this.#byService.get(service) ?? []).map(({id}) => id));
			this.#cachedOrders.set(key, order);
		}

		return order;
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

		this.#byService.clear();
		this.#cachedOrders.clear();
		for (const backend of this.#backends.values()) {
			const servers = this.#byService.get(backend.record.service) ?? [];
			servers.push(backend);
			this.#byService.set(backend.record.service, servers);
		}

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
		const ends = (this.#byService.get(service) ?? [])
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
