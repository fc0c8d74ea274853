import {type TimerService} from '@fescuewick/core';
import {type TcpRelay} from '@fescuewick/emulator';
import {type StoreStandIn} from '@fescuewick/platform/stand-ins';
import {type Backends} from './backends.js';
import {type Callers} from './callers.js';
import {limits, type Operator} from './operator.js';
import {PathFault, PathFaults} from './path-faults.js';
import {FaultKind, type PlannedFault} from './schedule.js';
import {type VmProcess} from './vm-process.js';

/** Further callers of a workspace while it asks for more than its rate, and the mean pause between two requests of one, in milliseconds. */
const greedyCallers = 20;
const greedyPauseMs = 60;

/** What faults are done to. */
type FaultPlayerOptions = {
	readonly timers: TimerService;
	readonly store: StoreStandIn;
	/** Relays in front of the store, in the order of the VMs. */
	readonly storeRelays: readonly TcpRelay[];
	readonly vms: readonly VmProcess[];
	readonly backends: Backends;
	readonly operator: Operator;
	readonly callers: Callers;
	/** Failure domains. */
	readonly domains: readonly string[];
};

/** Brings planned faults about, from outside the programs. */
export class FaultPlayer {
	readonly #paths = new Map<TcpRelay, PathFaults>();
	#storeDowns = 0;

	constructor(private readonly options: FaultPlayerOptions) {}

	/** Plays the faults at their times; resolves when the last one has ended. */
	async play(schedule: readonly PlannedFault[]): Promise<void> {
		const startedAtMs = this.options.timers.nowMs();
		await Promise.all(schedule.map(async fault => {
			await this.options.timers.sleep(Math.max(0, startedAtMs + fault.atMs - this.options.timers.nowMs()));
			await this.#apply(fault);
		}));
	}

	async #apply({kind, durationMs, target}: PlannedFault): Promise<void> {
		const vm = this.options.vms[target % this.options.vms.length];
		switch (kind) {
			case FaultKind.vmKilled: {
				return vm.kill(durationMs);
			}

			case FaultKind.vmStopped: {
				return vm.stop(durationMs);
			}

			case FaultKind.vmPaused: {
				return vm.pause(durationMs);
			}

			case FaultKind.storeRefuses: {
				return this.#disturbStore(target, PathFault.refusing, durationMs);
			}

			case FaultKind.storeSilent: {
				return this.#disturbStore(target, PathFault.silent, durationMs);
			}

			case FaultKind.storeAnswersSilent: {
				return this.#disturbStore(target, PathFault.answersSilent, durationMs);
			}

			case FaultKind.storeSlow: {
				return this.#disturbStore(target, PathFault.slow, durationMs);
			}

			case FaultKind.storeDown: {
				return this.#storeDown(durationMs);
			}

			case FaultKind.storeCompacted: {
				this.options.store.compact();
				return;
			}

			case FaultKind.serverReset: {
				return this.#disturbPath(this.options.backends.relayOf(target), PathFault.reset, durationMs);
			}

			case FaultKind.serverSilent: {
				return this.#disturbPath(this.options.backends.relayOf(target), PathFault.silent, durationMs);
			}

			case FaultKind.serverSlow: {
				return this.#disturbPath(this.options.backends.relayOf(target), PathFault.slow, durationMs);
			}

			case FaultKind.serverRefuses: {
				return this.#disturbPath(this.options.backends.relayOf(target), PathFault.refusing, durationMs);
			}

			case FaultKind.serverReplaced: {
				return this.options.backends.replace(target);
			}

			case FaultKind.keyReplaced: {
				this.options.operator.replaceKey(target);
				return;
			}

			case FaultKind.domainEvacuated: {
				return this.options.operator.evacuate(this.options.domains[target % this.options.domains.length], durationMs);
			}

			case FaultKind.workspaceGreedy: {
				this.options.callers.add(limits[0].workspace, greedyCallers, greedyPauseMs, this.options.timers.nowMs() + durationMs);
			}
		}
	}

	async #disturbStore(target: number, fault: PathFault, durationMs: number): Promise<void> {
		const index = target % this.options.vms.length;
		const fromMs = this.options.timers.nowMs();
		await this.#disturbPath(this.options.storeRelays[index], fault, durationMs);
		this.options.vms[index].disturbed.push({fromMs, untilMs: this.options.timers.nowMs()});
	}

	async #disturbPath(relay: TcpRelay, fault: PathFault, durationMs: number): Promise<void> {
		const faults = this.#paths.get(relay) ?? new PathFaults(relay);
		this.#paths.set(relay, faults);
		faults.begin(fault);
		await this.options.timers.sleep(durationMs);
		faults.end(fault);
	}

	async #storeDown(durationMs: number): Promise<void> {
		const fromMs = this.options.timers.nowMs();
		this.#storeDowns++;
		this.options.store.faults.isDown = true;
		await this.options.timers.sleep(durationMs);
		this.#storeDowns--;
		this.options.store.faults.isDown = this.#storeDowns > 0;
		for (const vm of this.options.vms) {
			vm.disturbed.push({fromMs, untilMs: this.options.timers.nowMs()});
		}
	}
}
