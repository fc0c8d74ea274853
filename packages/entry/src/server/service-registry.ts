import {type Logger, type TimerService} from '@fescuewick/core';
import {BackendPool} from '../backends/backend-pool.js';
import {type ForwardContext} from '../forward/forwarding.js';
import {LatencyWindow} from '../forward/latency-window.js';
import {RetryBudget} from '../forward/retry-budget.js';
import {type SlotGrants} from '../limits/slot-grants.js';
import {ServiceScheduler} from '../queue/service-scheduler.js';
import {openWorkspace} from '../request/credentials.js';
import {type EntryLimits} from '../settings.js';
import {type FleetView} from '../view/fleet-view.js';
import {type RouteMatch} from '../view/route-table.js';
import {type EntryMetrics} from './entry-metrics.js';

/** Dependencies that the services of an entry daemon share. */
export type ServiceOptions = {
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: () => number;
	readonly limits: EntryLimits;
	readonly view: FleetView;
	readonly slotGrants: SlotGrants;
	readonly metrics: EntryMetrics;
};

/** Schedulers, forwarding contexts and load counters of all services. */
export class ServiceRegistry {
	readonly #schedulers = new Map<string, ServiceScheduler>();
	readonly #loads = new Map<string, {requests: number; bytes: number}>();
	readonly #forwardContexts = new Map<string, ForwardContext>();

	constructor(private readonly options: ServiceOptions) {}

	get schedulers(): Iterable<ServiceScheduler> {
		return this.#schedulers.values();
	}

	/** The scheduler of a service; created at first use. */
	scheduler(service: string): ServiceScheduler {
		let scheduler = this.#schedulers.get(service);
		if (scheduler === undefined) {
			const {timers, logger, slotGrants, random, limits} = this.options;
			const pool = new BackendPool({
				service, timers, logger, slotGrants, random, connectTimeoutMs: limits.connectMs, awaitProbe: true, onCapacityFreed() {
					created.dispatch();
				},
			});
			const created = new ServiceScheduler(service, {
				timers, pool, maxQueuedRequests: limits.maxQueuedRequests, weightOf: workspace => this.#weightOf(workspace),
			});
			scheduler = created;
			this.#schedulers.set(service, scheduler);
		}

		return scheduler;
	}

	/** The forwarding context of a service and class; created at first use. */
	forwardContext({service, settings}: RouteMatch): ForwardContext {
		const id = `${service}/${settings.name}`;
		let context = this.#forwardContexts.get(id);
		if (context === undefined) {
			const {timers, logger, metrics} = this.options;
			context = {
				timers,
				logger,
				pool: this.scheduler(service).pool,
				budget: new RetryBudget(timers),
				latencies: new LatencyWindow(timers),
				onRepeatedAttempt(kind) {
					metrics.recordRepeatedAttempt(kind);
				},
			};
			this.#forwardContexts.set(id, context);
		}

		return context;
	}

	/** Counts a forwarded request and the size of its answer. */
	countLoad(service: string, bytes: number): void {
		const load = this.#loads.get(service) ?? {requests: 0, bytes: 0};
		load.requests++;
		load.bytes += bytes;
		this.#loads.set(service, load);
	}

	/** Forwarded requests and answer bytes since the last call. */
	takeLoad(service: string): {requests: number; bytes: number} {
		const load = this.#loads.get(service) ?? {requests: 0, bytes: 0};
		this.#loads.delete(service);
		return load;
	}

	/**
	Requests per second that this VM's slots can serve.

	A server whose latency is not measured yet is counted with the largest lateness target of the service's classes. This gives a lower bound: a server that keeps the targets has at least this capacity.
	*/
	capacityPerS(service: string): number {
		const {document} = this.options.view.configuration ?? {};
		const names = new Set(document?.services.find(({name}) => name === service)?.routes.map(route => route.class));
		const targetsMs = (document?.classes ?? []).filter(({name}) => names.has(name)).map(({latenessTargetMs}) => latenessTargetMs);
		return targetsMs.length === 0 ? 0 : this.scheduler(service).pool.capacityPerS(Math.max(...targetsMs));
	}

	/** Updates the backend pools from the view. */
	updateBackends(): void {
		const {configuration, backends} = this.options.view;
		for (const {name} of configuration?.document.services ?? []) {
			const scheduler = this.scheduler(name);
			scheduler.pool.applyRecords(backends.filter(({service}) => service === name));
			scheduler.dispatch();
		}
	}

	dispatch(): void {
		for (const scheduler of this.#schedulers.values()) {
			scheduler.dispatch();
		}
	}

	stop(): void {
		for (const scheduler of this.#schedulers.values()) {
			scheduler.stop();
			scheduler.pool.close();
		}
	}

	/** The rate of a workspace; requests of open routes get the mean rate of all workspaces. */
	#weightOf(workspace: string): number {
		const workspaces = this.options.view.configuration?.workspaces;
		const configured = workspaces?.get(workspace)?.ratePerS;
		if (configured !== undefined) {
			return configured;
		}

		if (workspaces === undefined || workspaces.size === 0 || workspace !== openWorkspace) {
			return 1;
		}

		let sum = 0;
		for (const {ratePerS} of workspaces.values()) {
			sum += ratePerS;
		}

		return sum / workspaces.size;
	}
}
