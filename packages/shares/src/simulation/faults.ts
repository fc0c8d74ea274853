import {type ManualTimerService} from '@fescuewick/core';
import {type Fleet, type FleetVm} from './fleet.js';

/** Kinds of fault that a simulated fleet can meet. */
export enum FaultKind {
	storeDown = 'store-down',
	storeSlow = 'store-slow',
	storeSilent = 'store-silent',
	storeLosesAnswers = 'store-loses-answers',
	cutDomain = 'cut-domain',
	killVm = 'kill-vm',
	replaceVm = 'replace-vm',
	pauseControl = 'pause-control',
	pauseEntry = 'pause-entry',
	loseAnswers = 'lose-answers',
	losePeerAnswers = 'lose-peer-answers',
	repeatPeerRequests = 'repeat-peer-requests',
	stopHolder = 'stop-holder',
	stopVm = 'stop-vm',
	differingViews = 'differing-views',
	restartControl = 'restart-control',
}

/** A fault that begins `afterMs` after the one before; `pick` chooses the VM or domain. */
export type Fault = {readonly kind: FaultKind; readonly pick: number; readonly afterMs: number; readonly durationMs: number};

/** A node that is silent for this long is dead in the others' view. */
const deadAfterMs = 3000;
/** Time from the begin of a planned stop to the end of the VM. */
const stopMs = 1000;

/** Starts a fault; its end is scheduled on the same clock. */
export function startFault(fleet: Fleet, timers: ManualTimerService, fault: Fault): void {
	const vms = [...fleet.vms.values()];
	const node = vms[fault.pick % Math.max(1, vms.length)] as FleetVm | undefined;
	if (node === undefined) {
		return;
	}

	const {faults} = fleet.store;
	const until = (end: () => void) => {
		timers.after(fault.durationMs, end);
	};

	switch (fault.kind) {
		case FaultKind.storeDown: {
			faults.down = true;
			until(() => {
				faults.down = false;
			});
			break;
		}

		case FaultKind.storeSlow: {
			faults.slowMs = 700;
			until(() => {
				faults.slowMs = 0;
			});
			break;
		}

		case FaultKind.storeSilent: {
			faults.silent = true;
			until(() => {
				faults.silent = false;
			});
			break;
		}

		case FaultKind.storeLosesAnswers: {
			faults.loseAnswers += 1 + (fault.pick % 6);
			break;
		}

		case FaultKind.cutDomain: {
			cutDomain(fleet, node.domain);
			until(() => {
				fleet.cutDomains.delete(node.domain);
				fleet.hub.heal();
			});
			break;
		}

		case FaultKind.killVm: {
			fleet.kill(node.vm);
			until(() => {
				if (!fleet.vms.has(node.vm)) {
					fleet.add(node.vm, node.domain);
				}
			});
			break;
		}

		case FaultKind.replaceVm: {
			fleet.add(node.vm, node.domain);
			break;
		}

		case FaultKind.pauseControl: {
			pauseControl(fleet, timers, node, fault.durationMs);
			break;
		}

		case FaultKind.pauseEntry: {
			node.entry.pause();
			until(() => {
				node.entry.resume();
			});
			break;
		}

		case FaultKind.loseAnswers: {
			fleet.loseAnswers += 1 + (fault.pick % 5);
			break;
		}

		case FaultKind.losePeerAnswers: {
			fleet.hub.loseAnswers += 1 + (fault.pick % 5);
			break;
		}

		case FaultKind.repeatPeerRequests: {
			fleet.hub.repeatRequests += 1 + (fault.pick % 5);
			break;
		}

		case FaultKind.stopHolder: {
			fleet.endRequests(node);
			void node.holder.stop();
			until(() => {
				if (fleet.vms.get(node.vm) === node) {
					fleet.add(node.vm, node.domain);
				}
			});
			break;
		}

		case FaultKind.stopVm: {
			stopVm(fleet, timers, node, fault);
			break;
		}

		case FaultKind.differingViews: {
			fleet.hidePeers(node.vm, fault.durationMs);
			break;
		}

		case FaultKind.restartControl: {
			fleet.restartControl(node, fault.durationMs);
			break;
		}

		default:
	}
}

/** A planned stop, with or without a stop of the entry daemon before it; the VM is back after the duration. */
function stopVm(fleet: Fleet, timers: ManualTimerService, node: FleetVm, {pick, durationMs}: Fault): void {
	if (pick % 2 === 0) {
		fleet.endRequests(node);
		void node.holder.stop();
	}

	void node.leased?.stop();
	timers.after(Math.min(durationMs, stopMs), () => {
		if (fleet.vms.get(node.vm) === node) {
			fleet.kill(node.vm);
			timers.after(durationMs, () => {
				if (!fleet.vms.has(node.vm)) {
					fleet.add(node.vm, node.domain);
				}
			});
		}
	});
}

function cutDomain(fleet: Fleet, domain: string): void {
	fleet.cutDomains.add(domain);
	for (const other of new Set([...fleet.vms.values()].map(vm => vm.domain))) {
		if (other !== domain) {
			fleet.hub.cut(domain, other);
		}
	}
}

/** Stops a control daemon; others count it as dead once it was silent for long enough. */
function pauseControl(fleet: Fleet, timers: ManualTimerService, node: FleetVm, durationMs: number): void {
	node.control.pause();
	const isSame = () => fleet.vms.get(node.vm) === node;
	if (durationMs >= deadAfterMs) {
		timers.after(deadAfterMs, () => {
			if (isSame()) {
				fleet.hub.kill(node.vm);
			}
		});
	}

	timers.after(durationMs, () => {
		if (isSame()) {
			fleet.hub.dead.delete(node.vm);
		}

		node.control.resume();
		fleet.hub.changed();
	});
}
