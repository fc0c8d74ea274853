import {hashFraction, ManualTimerService} from '@fescuewick/core';
import {type Backend, type ReportedLoad} from '../placement/backend.js';
import {type Placer} from '../placement/placer.js';
import {createPlacerFixture, fixtureRequest, recordFixtureAnswer} from './placer-fixture.js';

/** How long a server keeps its slowness, in milliseconds. */
const slownessPeriodMs = 600;
const usualSlowFraction = 0.15;
const slowFactor = 2.5;
/** Fraction of requests that take several times as long, and that multiple. */
const longFraction = 0.03;
const longFactor = 7;
/** Mean work of a request at a server that has not handled its object lately, and at one that has, in milliseconds. */
const coldWorkMs = 600;
const warmWorkMs = 180;
const cachedObjects = 35;
const queuePerSlot = 3;
const networkDelayMs = 1;
const retryIntervalMs = 50;
const deadlineMs = 2000;
const maxAttempts = 3;

/** A simulated load; the same seed gives the same requests and the same slowness of the servers. */
export type UnevenLoad = {
	readonly seed: string;
	readonly vms: number;
	readonly servers: number;
	readonly slots: number;
	/** Requests of all VMs, as a fraction of what the servers complete when all of them are warm. */
	readonly utilization: number;
	/** Number of objects; undefined for requests without an affinity key, all of which take the time of a warm server. */
	readonly objects: number | undefined;
	readonly durationMs: number;
	/** Fraction of the time for which a server is slow. */
	readonly slowFraction?: number;
};

/** What callers saw; a request that was not answered by its deadline counts with the deadline. */
export type UnevenResult = {
	readonly requests: number;
	readonly unanswered: number;
	readonly meanMs: number;
	readonly p99Ms: number;
	/** Fraction of answers by servers that had handled the object lately. */
	readonly warmFraction: number;
	/** Fraction of decisions for which the slowness of the chosen server was known. */
	readonly knownFraction: number;
};

type SimulatedRequest = {
	readonly object: string | undefined;
	/** Work relative to the mean. */
	readonly work: number;
	readonly startMs: number;
	readonly vm: SimulatedVm;
	readonly excluded: Set<string>;
	isEnded: boolean;
};

/** Runs events in order of time, to the millisecond. */
class EventQueue {
	nowMs = 0;
	readonly #byMs = new Map<number, Array<() => void>>();

	after(delayMs: number, run: () => void): void {
		const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
		const events = this.#byMs.get(atMs);
		if (events === undefined) {
			this.#byMs.set(atMs, [run]);
		} else {
			events.push(run);
		}
	}

	/** Runs events until `endMs`; `onStep` is called before those of each millisecond. */
	run(endMs: number, onStep: () => void): void {
		for (; this.nowMs < endMs; this.nowMs++) {
			onStep();
			for (const event of this.#byMs.get(this.nowMs) ?? []) {
				event();
			}

			this.#byMs.delete(this.nowMs);
		}
	}
}

/** A server with slots, a queue, a cache of objects, and a machine that it shares. */
class SimulatedServer {
	readonly #slowPeriods: boolean[] = [];
	readonly #cache = new Set<string>();
	readonly #waiting: Array<{readonly request: SimulatedRequest; readonly onDone: (load: ReportedLoad, isWarm: boolean) => void}> = [];
	#running = 0;
	readonly #phaseMs: number;

	constructor(readonly id: string, private readonly load: UnevenLoad, private readonly events: EventQueue, private readonly reportsSlowness: boolean) {
		this.#phaseMs = hashFraction(`${load.seed}/phase/${id}`) * slownessPeriodMs;
	}

	/** Runs or queues a request; returns whether it did. */
	take(request: SimulatedRequest, onDone: (load: ReportedLoad, isWarm: boolean) => void): boolean {
		if (this.#waiting.length >= this.load.slots * queuePerSlot) {
			return false;
		}

		this.#waiting.push({request, onDone});
		this.#fillSlots();
		return true;
	}

	#fillSlots(): void {
		while (this.#running < this.load.slots && this.#waiting.length > 0) {
			const {request, onDone} = this.#waiting.shift()!;
			const {object, work} = request;
			const isWarm = object === undefined || this.#cache.has(object);
			this.#running++;
			this.events.after(this.#durationMs(work * (isWarm ? warmWorkMs : coldWorkMs)), () => {
				if (object !== undefined) {
					this.#remember(object);
				}

				const report = {running: this.#running, waiting: this.#waiting.length};
				this.#running--;
				this.#fillSlots();
				onDone(this.reportsSlowness ? {...report, slowness: this.#slownessAt(this.events.nowMs)} : report, isWarm);
			});
		}
	}

	/** Time in which the machine completes `workMs` from now on. */
	#durationMs(workMs: number): number {
		let atMs = this.events.nowMs;
		let leftMs = workMs;
		for (;;) {
			const slowness = this.#slownessAt(atMs);
			const periodLeftMs = slownessPeriodMs - ((atMs + this.#phaseMs) % slownessPeriodMs);
			if (leftMs * slowness <= periodLeftMs) {
				return atMs + (leftMs * slowness) - this.events.nowMs;
			}

			leftMs -= periodLeftMs / slowness;
			atMs += periodLeftMs;
		}
	}

	#slownessAt(atMs: number): number {
		const period = Math.floor((atMs + this.#phaseMs + 1e-6) / slownessPeriodMs);
		this.#slowPeriods[period] ??= hashFraction(`${this.load.seed}/slow/${this.id}/${period}`) < (this.load.slowFraction ?? usualSlowFraction);
		return this.#slowPeriods[period] ? slowFactor : 1;
	}

	#remember(object: string): void {
		this.#cache.delete(object);
		this.#cache.add(object);
		if (this.#cache.size > cachedObjects) {
			this.#cache.delete(this.#cache.values().next().value!);
		}
	}
}

type SimulatedVm = {readonly placer: Placer; readonly waiting: SimulatedRequest[]};

/** Requests of a region's VMs to its servers; each VM knows only what the answers to its own requests report. */
export function simulateUnevenServers(load: UnevenLoad, reportsSlowness: boolean): UnevenResult {
	const {seed, slots, objects, durationMs} = load;
	const timers = new ManualTimerService();
	const events = new EventQueue();
	const ids = Array.from({length: load.servers}, (_, index) => `server-${index}`);
	const servers = new Map(ids.map(id => [id, new SimulatedServer(id, load, events, reportsSlowness)]));
	const names = Array.from({length: load.vms}, (_, index) => `vm-${index + 1}`);
	const vms = names.map((vm): SimulatedVm => ({
		placer: createPlacerFixture({
			timers, vm, region: 'north', servers: ids.map(id => ({id, slots, region: 'north'})), limitSharersIn: () => names,
		}), waiting: [],
	}));
	const latenciesMs: number[] = [];
	const counts = {
		unanswered: 0, warm: 0, known: 0, placed: 0,
	};

	const end = (request: SimulatedRequest, isAnswered: boolean) => {
		if (request.isEnded) {
			return;
		}

		request.isEnded = true;
		counts.unanswered += isAnswered ? 0 : 1;
		latenciesMs.push(isAnswered ? events.nowMs - request.startMs : deadlineMs);
	};

	const retryWaiting = (vm: SimulatedVm) => {
		for (const request of vm.waiting.splice(0)) {
			start(request);
		}
	};

	const send = (request: SimulatedRequest, backend: Backend) => {
		const {vm} = request;
		const sentAtMs = events.nowMs;
		backend.inFlight++;
		events.after(networkDelayMs, () => {
			const isTaken = servers.get(backend.id)!.take(request, (report, isWarm) => {
				events.after(networkDelayMs, () => {
					counts.warm += isWarm ? 1 : 0;
					recordFixtureAnswer(backend, {load: report, latencyRatio: (events.nowMs - sentAtMs) / (1.2 * warmWorkMs), nowMs: events.nowMs});
					end(request, true);
					retryWaiting(vm);
				});
			});
			if (!isTaken) {
				events.after(networkDelayMs, () => {
					backend.inFlight--;
					backend.recordShed(events.nowMs);
					request.excluded.add(backend.id);
					if (request.excluded.size >= maxAttempts) {
						end(request, false);
					} else {
						start(request);
					}
				});
			}
		});
	};

	const start = (request: SimulatedRequest) => {
		if (request.isEnded) {
			return;
		}

		const placement = request.vm.placer.place(fixtureRequest(request.object, request.excluded));
		if (typeof placement === 'string') {
			request.vm.waiting.push(request);
			return;
		}

		counts.placed++;
		counts.known += placement.backend.slowness(events.nowMs) === undefined ? 0 : 1;
		send(request, placement.backend);
	};

	const meanWorkMs = warmWorkMs * (1 + (longFraction * (longFactor - 1))) * (1 + (usualSlowFraction * (slowFactor - 1)));
	const ratePerMs = load.utilization * load.servers * slots / meanWorkMs;
	const requests = Math.floor(ratePerMs * durationMs);
	for (let index = 0; index < requests; index++) {
		const random = (name: string) => hashFraction(`${seed}/${name}/${index}`);
		const request: SimulatedRequest = {
			// Squared, so that some objects are asked for more often than others.
			object: objects === undefined ? undefined : `figure-${Math.floor((random('object') ** 2) * objects)}`,
			work: (0.5 + random('work')) * (random('long') < longFraction ? longFactor : 1),
			startMs: Math.floor(random('time') * durationMs),
			vm: vms[Math.floor(random('vm') * vms.length)],
			excluded: new Set(),
			isEnded: false,
		};
		events.after(request.startMs, () => {
			start(request);
		});
		events.after(request.startMs + deadlineMs, () => {
			end(request, false);
		});
	}

	events.run(durationMs + deadlineMs + 1, () => {
		if (events.nowMs > timers.nowMs()) {
			timers.pause(events.nowMs - timers.nowMs());
		}

		if (events.nowMs % retryIntervalMs === 0) {
			for (const vm of vms) {
				retryWaiting(vm);
			}
		}
	});
	latenciesMs.sort((a, b) => a - b);
	return {
		requests,
		unanswered: counts.unanswered,
		meanMs: latenciesMs.reduce((sum, ms) => sum + ms, 0) / latenciesMs.length,
		p99Ms: latenciesMs[Math.floor(latenciesMs.length * 0.99)],
		warmFraction: counts.warm / counts.placed,
		knownFraction: counts.known / counts.placed,
	};
}
