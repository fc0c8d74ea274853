import {type TimerService} from '@fescuewick/core';
import {type TcpRelay} from '@fescuewick/emulator';
import {type FakePlatformStore} from '@fescuewick/platform/stand-ins';
import {type Backends} from './backends.js';
import {type Callers} from './callers.js';
import {rateLimits, type Operator} from './operator.js';
import {PathFault, PathFaults} from './path-faults.js';
import {FaultKind, type PlannedFault} from './schedule.js';
import {type VmProcess} from './vm-process.js';

/** Additional callers of a workspace while it exceeds its rate, and the mean pause between two requests of one caller, in milliseconds. */
const greedyCallerCount = 20;
const greedyPauseMs = 60;

/** Time after a restore of the store in which operators and servers write again what they had written, in milliseconds; servers whose entries are missing are kept for 1.9 s. */
const rewriteDelayMs = 1200;

/** Writes of other users of the store that a restore loses; by them the revisions that VMs know stay ahead of the restored store for the rest of a run. */
const lostWriteCount = 500;

/** Time until the VMs know the revision of the store, in milliseconds. */
const knownRevisionMs = 1500;

type FaultInjectorOptions = {
	readonly timers: TimerService;
	readonly store: FakePlatformStore;
	/** Relays in front of the store, in the order of the VMs. */
	readonly storeRelays: readonly TcpRelay[];
	readonly vms: readonly VmProcess[];
	readonly backends: Backends;
	readonly operator: Operator;
	readonly callers: Callers;
	/** Failure domains. */
	readonly domains: readonly string[];
};

/** Injects planned faults from outside the VMs' processes. */
export class FaultInjector {
	readonly #paths = new Map<TcpRelay, PathFaults>();
	#activeStoreOutages = 0;

	constructor(private readonly options: FaultInjectorOptions) {}

	/** Injects the faults at their times; resolves when the last one has ended. */
	async run(schedule: readonly PlannedFault[]): Promise<void> {
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
				return this.#applyStorePathFault(target, PathFault.refusing, durationMs);
			}

			case FaultKind.storeSilent: {
				return this.#applyStorePathFault(target, PathFault.silent, durationMs);
			}

			case FaultKind.storeAnswersSilent: {
				return this.#applyStorePathFault(target, PathFault.answersSilent, durationMs);
			}

			case FaultKind.storeSlow: {
				return this.#applyStorePathFault(target, PathFault.slow, durationMs);
			}

			case FaultKind.storeDown: {
				return this.#takeStoreDown(durationMs);
			}

			case FaultKind.storeCompacted: {
				this.options.store.compact();
				return;
			}

			case FaultKind.storeRestored: {
				return this.#restoreStore(durationMs);
			}

			case FaultKind.serverReset: {
				return this.#applyPathFault(this.options.backends.relayOf(target), PathFault.reset, durationMs);
			}

			case FaultKind.serverSilent: {
				return this.#applyPathFault(this.options.backends.relayOf(target), PathFault.silent, durationMs);
			}

			case FaultKind.serverSlow: {
				return this.#applyPathFault(this.options.backends.relayOf(target), PathFault.slow, durationMs);
			}

			case FaultKind.serverRefuses: {
				return this.#applyPathFault(this.options.backends.relayOf(target), PathFault.refusing, durationMs);
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
				this.options.callers.add(rateLimits[0].workspace, greedyCallerCount, greedyPauseMs, this.options.timers.nowMs() + durationMs);
			}
		}
	}

	async #applyStorePathFault(target: number, fault: PathFault, durationMs: number): Promise<void> {
		const index = target % this.options.vms.length;
		const fromMs = this.options.timers.nowMs();
		await this.#applyPathFault(this.options.storeRelays[index], fault, durationMs);
		this.options.vms[index].faultSpans.push({fromMs, untilMs: this.options.timers.nowMs()});
	}

	async #applyPathFault(relay: TcpRelay, fault: PathFault, durationMs: number): Promise<void> {
		const faults = this.#paths.get(relay) ?? new PathFaults(relay);
		this.#paths.set(relay, faults);
		faults.begin(fault);
		await this.options.timers.sleep(durationMs);
		faults.end(fault);
	}

	/** Restores the store from a copy. That is no fault of the VMs: all guarantees hold meanwhile. */
	async #restoreStore(copyAgeMs: number): Promise<void> {
		const {store, timers, operator, backends} = this.options;
		const copy = store.copy();
		await timers.sleep(copyAgeMs);
		for (let count = 0; count < lostWriteCount; count++) {
			store.set('other', 'counter', count);
		}

		// The VMs learn the revision by the next checks of their readers.
		await timers.sleep(knownRevisionMs);
		store.restore(copy);
		operator.onRestore();
		await timers.sleep(rewriteDelayMs);
		operator.rewrite();
		backends.rewrite();
	}

	async #takeStoreDown(durationMs: number): Promise<void> {
		const fromMs = this.options.timers.nowMs();
		this.#activeStoreOutages++;
		this.options.store.faults.isDown = true;
		await this.options.timers.sleep(durationMs);
		this.#activeStoreOutages--;
		this.options.store.faults.isDown = this.#activeStoreOutages > 0;
		for (const vm of this.options.vms) {
			vm.faultSpans.push({fromMs, untilMs: this.options.timers.nowMs()});
		}
	}
}
