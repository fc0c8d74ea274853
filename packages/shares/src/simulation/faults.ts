import {type ManualTimerService} from '@fescuewick/core';
import {type Fleet, type FleetVm} from './fleet.js';

/** Kinds of fault that can be injected into a simulated fleet. */
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

/** A fault that starts `afterMs` after the previous one; `selector` selects the VM (modulo their number) or its domain, the number of lost or repeated messages, and the variant of a planned stop. */
export type Fault = {readonly kind: FaultKind; readonly selector: number; readonly afterMs: number; readonly durationMs: number};

/** Time without heartbeats after which the other VMs declare a VM dead. */
const deadAfterMs = 3000;
/** Maximum time from the start of a planned stop to the end of the VM. */
const stopMs = 1000;

/** Injects a fault and schedules its end on the same clock; does nothing without VMs. */
export function startFault(fleet: Fleet, timers: ManualTimerService, fault: Fault): void {
	const vms = [...fleet.vms.values()];
	const node = vms[fault.selector % Math.max(1, vms.length)] as FleetVm | undefined;
	if (node === undefined) {
		return;
	}

	const {faults} = fleet.store;
	const atEnd = (end: () => void) => {
		timers.after(fault.durationMs, end);
	};

	switch (fault.kind) {
		case FaultKind.storeDown: {
			faults.down = true;
			atEnd(() => {
				faults.down = false;
			});
			break;
		}

		case FaultKind.storeSlow: {
			faults.slowMs = 700;
			atEnd(() => {
				faults.slowMs = 0;
			});
			break;
		}

		case FaultKind.storeSilent: {
			faults.silent = true;
			atEnd(() => {
				faults.silent = false;
			});
			break;
		}

		case FaultKind.storeLosesAnswers: {
			faults.loseAnswers += 1 + (fault.selector % 6);
			break;
		}

		case FaultKind.cutDomain: {
			cutDomain(fleet, node.domain);
			atEnd(() => {
				fleet.cutDomains.delete(node.domain);
				fleet.hub.heal();
			});
			break;
		}

		case FaultKind.killVm: {
			fleet.kill(node.vm);
			atEnd(() => {
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
			atEnd(() => {
				node.entry.resume();
			});
			break;
		}

		case FaultKind.loseAnswers: {
			fleet.loseAnswers += 1 + (fault.selector % 5);
			break;
		}

		case FaultKind.losePeerAnswers: {
			fleet.hub.loseAnswers += 1 + (fault.selector % 5);
			break;
		}

		case FaultKind.repeatPeerRequests: {
			fleet.hub.repeatRequests += 1 + (fault.selector % 5);
			break;
		}

		case FaultKind.stopHolder: {
			fleet.endRequests(node);
			void node.holder.stop();
			atEnd(() => {
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

/** Stops a VM as planned, with or without stopping the entry daemon first; the VM returns `durationMs` after its end. */
function stopVm(fleet: Fleet, timers: ManualTimerService, node: FleetVm, {selector, durationMs}: Fault): void {
	if (selector % 2 === 0) {
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

/** Pauses a control daemon; the others declare it dead after `deadAfterMs`. */
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
			fleet.hub.deadVms.delete(node.vm);
		}

		node.control.resume();
		fleet.hub.notifyAll();
	});
}
