import {hashFraction, rendezvousOrder} from '@fescuewick/core';
import {ConnectionSet} from '@fescuewick/entry/http';
import {coldAllowancePerS} from '../limits/cold-allowance.js';
import {Backend, HealthEvent} from './backend.js';
import {
	firstInOrder, leastLoaded, type Candidate, type ChoiceReason,
} from './choose-backend.js';
import {
	RegionPlan, type MovedParts, type RegionPlanOptions, type ServerLoad,
} from './region-plan.js';
import {RegionSpill} from './region-spill.js';
import {type RegionalWork} from './work-meter.js';

/** Longest time to open a connection to a backend server, in milliseconds; several round trips between regions. */
const connectMs = 500;
/** Remembered orders of objects; the oldest half is dropped beyond this count. */
const maxOrders = 4096;
/** Part of the limit of moves between regions that requests without room in their region use. */
const spillPart = 0.25;

/** Settings of placing. */
export type PlacementBounds = {
	/** Largest part of a region's requests that may change the region between two windows. */
	readonly shiftMost: number;
	/** Factor and count by which the stated tolerance of cold servers may be exceeded. */
	readonly coldOvershoot: number;
	readonly coldSlack: number;
};

/** What decides where a request may run. */
export type PlacementRequest = {
	readonly service: string;
	/** Object that the request concerns; undefined to spread evenly. */
	readonly affinityKey: string | undefined;
	readonly homeRegions: readonly string[] | undefined;
	/** The region that the homes bind it to; undefined without homes. */
	readonly boundRegion: string | undefined;
	/** Region that the request was dealt to; undefined for the VM's own. */
	readonly region: string | undefined;
	/** Servers that were tried already. */
	readonly excluded: ReadonlySet<string>;
};

/** Where a request is to run. */
export type Placement = {readonly backend: Backend; readonly reason: ChoiceReason; readonly load: number; readonly isRemote: boolean};

/** Why no server was chosen. */
export enum NoPlacement {
	/** All servers that may run the request are full. */
	full = 'full',
	/** No server may run the request. */
	none = 'none',
	/** The region that the request is bound to admits other objects now. */
	notAdmitted = 'not-admitted',
}

type PlacerOptions = Omit<RegionPlanOptions, 'bounds'> & {
	readonly regionOf: (failureDomain: string) => string | undefined;
	readonly bounds: () => PlacementBounds;
	readonly vm: string;
	/** Names of the VMs of a region that may send to its servers, this one included. */
	readonly sharersIn: (region: string) => readonly string[];
	/** Called when a server may have room again. */
	readonly onRoom: () => void;
};

type Slot = Candidate & {readonly backend: Backend};

/** Holds the backend servers and chooses among them. */
export class Placer {
	readonly #backends = new Map<string, Backend>();
	readonly #byService = new Map<string, Backend[]>();
	readonly #orders = new Map<string, string[]>();
	readonly #spills = new Map<string, RegionSpill>();
	readonly #plan: RegionPlan;

	constructor(private readonly options: PlacerOptions) {
		this.#plan = new RegionPlan(options);
		options.state.events.on('backends', () => {
			this.#update();
		});
		options.state.events.on('evacuation', ({failureDomain, isEvacuated}) => {
			if (!isEvacuated) {
				this.#returned(failureDomain);
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

	/** Slots of usable servers of a service in this region. */
	slotsInRegion(service: string): number {
		return this.#usable(service).reduce((sum, backend) => sum + (backend.region === this.options.region ? backend.slots : 0), 0);
	}

	/** The region that a request of this VM's callers is dealt to; `random` serves requests without an object. */
	regionFor(service: string, affinityKey: string | undefined, random: number): string {
		this.#spillOf(service).arrived();
		return this.#plan.regionFor(service, affinityKey === undefined ? random : hashFraction(affinityKey));
	}

	/** Adapts the parts of requests that run in other regions, and the objects that regions admit, to the work of all regions' callers. */
	steer(work: RegionalWork, elapsedMs: number, partsOfRegion: MovedParts | undefined): void {
		const nowMs = this.options.timers.nowMs();
		for (const service of this.#byService.keys()) {
			const loads = new Map<string, ServerLoad>();
			for (const backend of this.#usable(service)) {
				const {slots, requests} = loads.get(backend.region) ?? {slots: 0, requests: 0};
				loads.set(backend.region, {slots: slots + backend.slots, requests: requests + backend.load(nowMs, () => this.#sharersOf(backend))});
			}

			this.#plan.update(service, {
				loads, work, elapsedMs, partsOfRegion: partsOfRegion && new Map(Object.entries(partsOfRegion[service] ?? {})),
			});
		}
	}

	/** Present parts that run in other regions, by service. */
	movedParts(): MovedParts {
		return this.#plan.movedParts();
	}

	/** Chooses the server for a request; the caller sends it at once. */
	place(request: PlacementRequest): Placement | NoPlacement {
		const {region} = this.options;
		const allowed = this.#usable(request.service).filter(backend => !request.excluded.has(backend.id) && request.homeRegions?.includes(backend.region) !== false);
		if (allowed.length === 0) {
			return NoPlacement.none;
		}

		const isAdmitted = this.#plan.admits(request);
		const admitted = isAdmitted ? allowed : allowed.filter(backend => backend.region !== request.boundRegion);
		if (admitted.length === 0) {
			return NoPlacement.notAdmitted;
		}

		const dealt = request.region === undefined || request.region === region ? undefined : this.#choose(admitted.filter(backend => backend.region === request.region), request);
		if (dealt !== undefined) {
			return {...dealt, isRemote: true};
		}

		const near = admitted.filter(backend => backend.region === region);
		const choice = this.#choose(near, request);
		if (choice !== undefined) {
			return {...choice, isRemote: false};
		}

		const spill = this.#spillOf(request.service);
		// Without any server in the region there is nothing to shift from: all requests have to leave it.
		const mayLeave = near.length === 0 || spill.hasCredit;
		const remote = mayLeave ? this.#choose(admitted.filter(backend => backend.region !== region), request) : undefined;
		if (remote === undefined) {
			return NoPlacement.full;
		}

		if (near.length > 0) {
			spill.left();
		}

		return {...remote, isRemote: true};
	}

	#choose(backends: readonly Backend[], {service, affinityKey}: PlacementRequest): Omit<Placement, 'isRemote'> | undefined {
		const nowMs = this.options.timers.nowMs();
		const choice = affinityKey === undefined
			? leastLoaded(backends.map(backend => this.#slotOf(backend, nowMs)))
			: firstInOrder(this.#slotsInOrder(backends, this.#orderOf(service, affinityKey), nowMs));
		return choice && {backend: choice.server.backend, reason: choice.reason, load: choice.server.load};
	}

	/** Looks at the servers one by one, because a request mostly goes to the first of hundreds. */
	* #slotsInOrder(backends: readonly Backend[], order: readonly string[], nowMs: number): Generator<Slot> {
		const byId = new Map(backends.map(backend => [backend.id, backend]));
		for (const id of order) {
			const backend = byId.get(id);
			if (backend !== undefined) {
				yield this.#slotOf(backend, nowMs);
			}
		}
	}

	#slotOf(backend: Backend, nowMs: number): Slot {
		return {
			id: backend.id,
			backend,
			load: backend.load(nowMs, () => this.#sharersOf(backend)),
			slots: backend.slots,
			isAvoided: backend.isAvoided(nowMs),
			hasAllowance: backend.connections.canAcquire() && (!backend.isCold(nowMs) || this.#hasColdAllowance(backend, nowMs)),
		};
	}

	/** VMs that send to a server before its load is known: those of its region, which most of its callers use, and this one. */
	#sharersOf({region}: Backend): number {
		return this.options.sharersIn(region).length + (region === this.options.region ? 0 : 1);
	}

	#hasColdAllowance(backend: Backend, nowMs: number): boolean {
		const {region, bounds, vm, sharersIn, state} = this.options;
		const coldRatePerS = state.configuration?.services.get(backend.record.service)?.coldRatePerS ?? 0;
		if (coldRatePerS === 0) {
			return true;
		}

		// Only VMs of its region send to a cold server, so that they can divide what it tolerates among themselves.
		if (backend.region !== region) {
			return false;
		}

		const {coldOvershoot, coldSlack} = bounds();
		const allowance = coldAllowancePerS({
			coldRatePerS, overshoot: coldOvershoot, slack: coldSlack, server: backend.id, vm, sharers: sharersIn(region),
		});
		return backend.coldSent.count(nowMs) < allowance;
	}

	#usable(service: string): Backend[] {
		return (this.#byService.get(service) ?? []).filter(backend => backend.isUsable && !this.options.state.isEvacuated(backend.record.failureDomain));
	}

	#orderOf(service: string, affinityKey: string): string[] {
		const key = `${service}\u0000${affinityKey}`;
		let order = this.#orders.get(key);
		if (order === undefined) {
			if (this.#orders.size >= maxOrders) {
				for (const old of [...this.#orders.keys()].slice(0, maxOrders / 2)) {
					this.#orders.delete(old);
				}
			}

			order = rendezvousOrder(affinityKey, (this.#byService.get(service) ?? []).map(({id}) => id));
			this.#orders.set(key, order);
		}

		return order;
	}

	#spillOf(service: string): RegionSpill {
		let spill = this.#spills.get(service);
		if (spill === undefined) {
			spill = new RegionSpill(this.options.bounds().shiftMost * spillPart);
			this.#spills.set(service, spill);
		}

		return spill;
	}

	/** The cold time after an evacuation starts with its end; entries of the servers may say so only later. */
	#returned(failureDomain: string): void {
		const {timers, state} = this.options;
		for (const backend of this.#backends.values()) {
			if (backend.record.failureDomain === failureDomain) {
				backend.coldFor(state.configuration?.services.get(backend.record.service)?.coldStartMs ?? 0, timers.nowMs());
			}
		}

		this.options.onRoom();
	}

	#update(): void {
		const {state, regionOf, logger} = this.options;
		for (const [id, backend] of this.#backends) {
			const known = state.backends.get(id);
			if (known?.record.address !== backend.record.address || known.record.service !== backend.record.service) {
				this.#backends.delete(id);
				// Requests in progress keep their connections; the set closes those that come back.
				backend.connections.close();
			}
		}

		for (const [id, known] of state.backends) {
			const backend = this.#backends.get(id);
			const region = regionOf(known.record.failureDomain);
			if (backend !== undefined) {
				backend.update(known);
			} else if (region === undefined) {
				logger.warn({event: 'backend-ignored', server: id, failureDomain: known.record.failureDomain}, 'the failure domain of a backend server is not known');
			} else {
				this.#backends.set(id, new Backend(known, region, this.#connect(known.record.address, known.record.service)));
			}
		}

		this.#byService.clear();
		this.#orders.clear();
		for (const backend of this.#backends.values()) {
			const servers = this.#byService.get(backend.record.service) ?? [];
			servers.push(backend);
			this.#byService.set(backend.record.service, servers);
		}

		this.options.onRoom();
	}

	#connect(address: string, service: string): ConnectionSet {
		const {timers, state, onRoom} = this.options;
		return new ConnectionSet(`http://${address}`, {
			timers,
			connectMs,
			// All VMs together may use what the server accepts; half leaves room for those that know each other too late.
			limit: () => Math.max(4, Math.floor((state.configuration?.services.get(service)?.maxConnections ?? 64) / 8)),
			onRoom,
		});
	}

	/** Marks a server as unreachable after a failed connection or probe. */
	unreachable(backend: Backend, reason: string): void {
		if (backend.send(HealthEvent.unreachable)) {
			this.options.logger.warn({event: 'backend-down', server: backend.id, reason}, 'backend server is unreachable');
			backend.connections.close();
		}
	}

	/** Another server has its address. */
	misdirected(backend: Backend): void {
		if (backend.send(HealthEvent.misdirected)) {
			this.options.logger.warn({event: 'backend-replaced', server: backend.id, address: backend.record.address}, 'another server has the address');
			backend.connections.close();
		}
	}
}
