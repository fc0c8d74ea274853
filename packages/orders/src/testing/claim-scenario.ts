import {OrderResult} from '@fescuewick/wire';
import {recordBytes} from '../journal/journal-record.js';
import {
	ClaimFleet, workspace, type ClaimCall, type FleetNode, type ServiceFactory,
} from './claim-fleet.js';

const placement = [['a1', 'north'], ['a2', 'north'], ['b1', 'south'], ['b2', 'south']] as const;
/** VMs of a scenario. */
export const vms = placement.map(([vm]) => vm);
/** Number of orders per form of key (tickets and caller keys) in a scenario. */
export const orderCount = 4;

/** Faults and recoveries of one node. `cutStore` toggles the link to the store; late and lost writes are reported as unanswered. */
export type NodeFault = 'kill' | 'restart' | 'pause' | 'resume' | 'cutStore' | 'cutPeer' | 'lateWrites' | 'lostWrites';

/** One step of a random sequence; `pick`, modulo their number, selects one of the attempts made so far. */
export type ScenarioStep =
	| {readonly kind: 'claim'; readonly vm: string; readonly order: number; readonly isTicket: boolean; readonly runs: boolean}
	| {readonly kind: 'repeat' | 'complete' | 'completeUnknown' | 'release'; readonly pick: number}
	| {readonly kind: NodeFault; readonly vm: string}
	| {readonly kind: 'misjudge'; readonly vm: string; readonly others: readonly string[]}
	| {readonly kind: 'cutDomains' | 'heal' | 'storeDown' | 'storeSilent' | 'storeUp'}
	| {readonly kind: 'loseAnswers' | 'losePeerAnswers'; readonly count: number}
	| {readonly kind: 'slowStore' | 'advance' | 'shiftClock'; readonly ms: number};

type Attempt = {
	readonly order: string;
	readonly key: string;
	readonly claimant: string;
	readonly node: FleetNode;
	/** Whether the attempt runs its order once granted; other attempts may only release. */
	readonly runs: boolean;
	readonly calls: ClaimCall[];
	isReleased: boolean;
};

/** Runs a sequence of steps and records which claimants ran each order. */
export class ClaimScenario {
	readonly fleet: ClaimFleet;
	readonly #attempts: Attempt[] = [];
	readonly #tickets = new Map<number, string>();

	constructor(createService?: ServiceFactory) {
		// Sizes small enough for sealing, merging and expiry to happen within a sequence.
		this.fleet = new ClaimFleet(placement, {
			repeatWindowMs: 40_000, maxTailBytes: 3 * recordBytes, minMergedBytes: 8 * recordBytes, maxSegmentBytes: 16 * recordBytes, idleUnloadMs: 5000,
		}, createService);
	}

	async run(sequence: readonly ScenarioStep[]): Promise<void> {
		for (const step of sequence) {
			this.#applyStep(step);
			await this.fleet.advance(step.kind === 'advance' ? step.ms : 1);
		}

		await this.#healAndClaimAll();
	}

	/** Orders that more than one claimant ran. */
	duplicates(): string[] {
		return [...this.#claimantsByOrder()].filter(([, claimants]) => claimants.size > 1).map(([order]) => order);
	}

	/** Number of orders that ran. */
	get executedOrderCount(): number {
		return this.#claimantsByOrder().size;
	}

	#claimantsByOrder(): Map<string, Set<string>> {
		const claimantsByOrder = new Map<string, Set<string>>();
		for (const {order, claimant, runs, calls} of this.#attempts) {
			if (runs && calls.some(({grants}) => grants > 0)) {
				claimantsByOrder.set(order, (claimantsByOrder.get(order) ?? new Set()).add(claimant));
			}
		}

		return claimantsByOrder;
	}

	/** Ends all faults and claims every order once more through each VM. */
	async #healAndClaimAll(): Promise<void> {
		const {fleet} = this;
		Object.assign(fleet.store.faults, {
			down: false, silent: false, slowMs: 0, loseAnswers: 0,
		});
		fleet.hub.heal();
		fleet.hub.loseAnswers = 0;
		for (const [name, node] of fleet.nodes) {
			if (fleet.hub.deadVms.has(name)) {
				fleet.start(name);
			} else {
				node.store.isCut = false;
				node.store.lateWrites = 0;
				node.store.lostWrites = 0;
				node.gate.open();
				node.peers.setMisjudged([]);
			}
		}

		await fleet.advance(3000);
		for (let order = 0; order < orderCount; order++) {
			for (const name of vms) {
				this.#claim(name, order, false, true);
				this.#claim(name, order, true, true);
			}
		}

		await fleet.advance(4000);
	}

	#applyStep(step: ScenarioStep): void {
		switch (step.kind) {
			case 'claim': {
				this.#claim(step.vm, step.order, step.isTicket, step.runs);
				break;
			}

			case 'repeat':
			case 'complete':
			case 'completeUnknown':
			case 'release': {
				this.#continueAttempt(step.kind, step.pick);
				break;
			}

			case 'misjudge': {
				this.fleet.node(step.vm).peers.setMisjudged(step.others);
				break;
			}

			case 'kill':
			case 'restart':
			case 'pause':
			case 'resume':
			case 'cutStore':
			case 'cutPeer':
			case 'lateWrites':
			case 'lostWrites': {
				this.#injectNodeFault(step.kind, step.vm);
				break;
			}

			default: {
				this.#injectFleetFault(step);
			}
		}
	}

	#claim(name: string, order: number, isTicket: boolean, runs: boolean): void {
		const {fleet} = this;
		const node = fleet.node(name);
		if (fleet.hub.deadVms.has(name)) {
			return;
		}

		if (isTicket && !this.#tickets.has(order)) {
			this.#tickets.set(order, fleet.ticket(name, `t${order}`));
		}

		const key = isTicket ? this.#tickets.get(order)! : `order-${order}`;
		const claimant = `attempt-${this.#attempts.length}`;
		this.#attempts.push({
			order: key, key, claimant, node, runs, calls: [fleet.startClaim(name, key, claimant)], isReleased: false,
		});
	}

	#continueAttempt(kind: 'repeat' | 'complete' | 'completeUnknown' | 'release', pick: number): void {
		const attempt = this.#attempts[pick % Math.max(1, this.#attempts.length)];
		if (attempt === undefined || this.fleet.nodes.get(attempt.node.vm) !== attempt.node || attempt.isReleased) {
			return;
		}

		const {key, claimant, node, runs, calls} = attempt;
		if (kind === 'repeat') {
			calls.push(this.fleet.startClaim(node.vm, key, claimant));
		} else if (kind === 'release' && !runs) {
			attempt.isReleased = true;
			void node.service.release({workspace, orderKey: key, claimant});
		} else if ((kind === 'complete' || kind === 'completeUnknown') && runs && calls.some(({grants}) => grants > 0)) {
			const end = kind === 'complete'
				? {result: OrderResult.done, answer: {status: 200, headers: {}, body: new Uint8Array(3)}}
				: {result: OrderResult.unknown, answer: undefined};
			void node.service.complete({
				workspace, orderKey: key, claimant, ...end,
			});
		}
	}

	#injectNodeFault(kind: NodeFault, name: string): void {
		const {fleet} = this;
		const isDead = fleet.hub.deadVms.has(name);
		if (kind === 'restart') {
			fleet.start(name);
		} else if (isDead) {
			return;
		}

		const node = fleet.node(name);
		switch (kind) {
			case 'kill': {
				fleet.kill(name);
				break;
			}

			case 'pause': {
				node.gate.close();
				break;
			}

			case 'resume': {
				node.gate.open();
				break;
			}

			case 'cutStore': {
				node.store.isCut = !node.store.isCut;
				break;
			}

			case 'lostWrites': {
				node.store.lostWrites = 1;
				break;
			}

			case 'lateWrites': {
				node.store.lateWrites = 3;
				break;
			}

			case 'cutPeer': {
				fleet.hub.cut(name, vms[(vms.indexOf(name as typeof vms[number]) + 1) % vms.length]);
				break;
			}

			default:
		}
	}

	#injectFleetFault(step: ScenarioStep): void {
		const {hub, store, timers} = this.fleet;
		switch (step.kind) {
			case 'cutDomains': {
				hub.cut('north', 'south');
				break;
			}

			case 'heal': {
				hub.heal();
				break;
			}

			case 'storeDown': {
				store.faults.down = true;
				break;
			}

			case 'storeSilent': {
				store.faults.silent = true;
				break;
			}

			case 'storeUp': {
				store.faults.down = false;
				store.faults.silent = false;
				break;
			}

			case 'loseAnswers': {
				store.faults.loseAnswers = step.count;
				break;
			}

			case 'losePeerAnswers': {
				hub.loseAnswers = step.count;
				break;
			}

			case 'slowStore': {
				store.faults.slowMs = step.ms;
				break;
			}

			case 'shiftClock': {
				timers.shiftWallClock(step.ms);
				break;
			}

			default:
		}
	}
}
