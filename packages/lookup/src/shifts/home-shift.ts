import {DemandEstimate} from './demand-estimate.js';
import {HomeRampUp, HomeState} from './home-ramp-up.js';
import {
	decayAfterMs, maxFreshAgeMs, cooldownMs, hysteresis, minuteMs, targetUtilization, type ShiftCaps,
} from './limits.js';
import {type RegionLoad} from './measurements.js';

/** Result of the last step of a shift; also logged as the reason of the decision. */
export enum ShiftReason {
	steady = 'steady',
	raised = 'raised',
	lowered = 'lowered',
	limitReduced = 'limit-reduced',
	decayed = 'decayed',
	measurementsOld = 'measurements-old',
	adopted = 'adopted',
}

/** A failure domain that may receive shifted traffic. */
export type ShiftTarget = {
	readonly domain: string;
	readonly region: string;
	/** Maximum shifted traffic, in requests per second, within its grant and the capacity of the link. */
	readonly limitPerS: number;
	/** Age of its newest load report; infinite if there is none. */
	readonly ageMs: number;
};

/** Input of one step of a shift. */
export type ShiftInput = {
	readonly nowMs: number;
	readonly state: HomeState;
	readonly load: RegionLoad | undefined;
	readonly caps: ShiftCaps;
	/** Nearest region first. */
	readonly targets: readonly ShiftTarget[];
	/** Time after a change until all cached answers and load reports from before it have expired. */
	readonly settleMs: number;
};

type FractionChange = {readonly atMs: number; readonly raised: number; readonly lowered: number};
type PastFractions = {readonly validUntilMs: number; readonly totalFraction: number; readonly homeFraction: number; readonly fractions: ReadonlyMap<string, number>};

const epsilon = 1e-9;
/** For this long after its start a process adopts the fractions that other VMs shift. */
const adoptionWindowMs = 10_000;

/** Controls which fractions of one service's traffic are shifted from one home region to other failure domains; deterministic, stepped about once per second. */
export class HomeShift {
	readonly #fractions = new Map<string, number>();
	readonly #demand = new DemandEstimate();
	readonly #rampUp = new HomeRampUp();
	#changes: FractionChange[] = [];
	#pastFractions: PastFractions[] = [];
	#startedAtMs: number | undefined;
	/** Fractions by failure domain that other VMs shifted when this process started. */
	readonly #adoptedFractions = new Map<string, number>();
	/** 1 while the shift is raised to the wanted fraction, -1 while it is lowered to it, 0 otherwise. */
	#direction = 0;
	#lastStepMs: number | undefined;
	#lastChangeMs = Number.NEGATIVE_INFINITY;
	reason = ShiftReason.steady;

	/** Fraction of the home region's demand that is shifted to other regions. */
	get totalFraction(): number {
		return sumOf(this.#fractions.values());
	}

	/** Of the blocks that are not shifted, the fraction that is directed to the home region. */
	get homeFraction(): number {
		return this.#rampUp.fraction;
	}

	get demandPerS(): number | undefined {
		return this.#demand.demandPerS;
	}

	/** Time of the last change of any fraction. */
	get lastChangeMs(): number {
		return this.#lastChangeMs;
	}

	fraction(domain: string): number {
		return this.#fractions.get(domain) ?? 0;
	}

	/** Smallest fraction used for answers during the last `settleMs`: at least this much traffic arrives at the failure domain. */
	settledFraction(domain: string): number {
		return Math.min(this.fraction(domain), ...this.#pastFractions.map(past => past.fractions.get(domain) ?? 0));
	}

	/** Whether the shift was first stepped less than 10 s ago. */
	isInAdoptionWindow(nowMs: number): boolean {
		return nowMs - (this.#startedAtMs ?? nowMs) < adoptionWindowMs;
	}

	/** Records the fraction that another VM shifts to a failure domain, and its demand estimate, as the starting point of this shift, so that all VMs agree. Ignored after the adoption window. */
	adopt(domain: string, fraction: number, demandPerS: number): void {
		if (this.#startedAtMs === undefined || this.isInAdoptionWindow(this.#lastStepMs ?? this.#startedAtMs)) {
			this.#adoptedFractions.set(domain, Math.max(fraction, this.adoptedFraction(domain)));
			this.#demand.adopt(demandPerS);
		}
	}

	/** Largest fraction recorded from other VMs; 0 after the adoption window. */
	adoptedFraction(domain: string): number {
		return this.#adoptedFractions.get(domain) ?? 0;
	}

	/** Fraction by which the shift may still grow within the caps for the last minute and in total. */
	raiseBudget(caps: ShiftCaps): number {
		return Math.max(0, Math.min(caps.maxPerMinute - sumOf(this.#changes.map(change => change.raised)), caps.max - this.totalFraction));
	}

	/** Fraction of the demand to shift so that the home region stays at its target utilization; 1 if it does not serve. */
	wantedFraction({state, load}: ShiftInput): number {
		if (state !== HomeState.serving) {
			return 1;
		}

		const {demandPerS} = this.#demand;
		if (load === undefined || demandPerS === undefined || demandPerS <= 0) {
			return 0;
		}

		return Math.min(1, Math.max(0, 1 - ((targetUtilization * load.capacityPerS) / demandPerS)));
	}

	/** Advances the shift to `nowMs`. */
	step(input: ShiftInput): void {
		const {nowMs, settleMs} = input;
		this.#changes = this.#changes.filter(change => change.atMs > nowMs - minuteMs);
		this.#pastFractions = this.#pastFractions.filter(past => past.validUntilMs > nowMs - settleMs);
		const before = {
			validUntilMs: nowMs, totalFraction: this.totalFraction, homeFraction: this.homeFraction, fractions: new Map(this.#fractions),
		};
		const elapsedMs = nowMs - (this.#lastStepMs ?? nowMs);
		this.#lastStepMs = nowMs;
		this.#startedAtMs ??= nowMs;
		this.#rampUp.step({
			nowMs, elapsedMs, settleMs, state: input.state, load: input.load, demandPerS: this.#demand.demandPerS, totalFraction: this.totalFraction,
		});
		this.#updateDemand(input);
		this.reason = ShiftReason.steady;
		this.#applyLimits(input);
		this.#applyAdopted(input);
		this.#adjust(input, elapsedMs);
		this.#recordChange(before, nowMs);
	}

	#updateDemand({state, load, nowMs}: ShiftInput): void {
		if (load === undefined) {
			return;
		}

		if (state === HomeState.lost) {
			this.#demand.seed(load.loadPerS);
			return;
		}

		// During a ramp-up only a fraction of the demand is admitted, and VMs that did not observe the loss may admit a different one.
		if (load.ageMs > maxFreshAgeMs || this.#rampUp.isRampingUp) {
			return;
		}

		const admitted = [...this.#pastFractions, {validUntilMs: nowMs, totalFraction: this.totalFraction, homeFraction: this.homeFraction}].map(past => (1 - past.totalFraction) * past.homeFraction);
		this.#demand.update({loadPerS: load.loadPerS, minAdmittedFraction: Math.min(...admitted), maxAdmittedFraction: Math.max(...admitted)});
	}

	/** Lowers fractions to what grants, the link and the cap allow. The cap per minute does not apply here, as protecting the target from overload takes precedence. */
	#applyLimits({targets, caps}: ShiftInput): void {
		const limits = new Map(targets.map(target => [target.domain, this.#maxFraction(target)]));
		for (const [domain, fraction] of this.#fractions) {
			const limit = limits.get(domain) ?? 0;
			if (fraction > limit + epsilon) {
				this.#setFraction(domain, limit);
				this.reason = ShiftReason.limitReduced;
			}
		}

		if (this.totalFraction > caps.max) {
			this.#lower(this.totalFraction - caps.max, targets);
			this.reason = ShiftReason.limitReduced;
		}
	}

	/** Raises a new shift to the fractions of other VMs. They shift the same blocks, so no additional traffic is shifted. */
	#applyAdopted({nowMs, targets, caps}: ShiftInput): void {
		if (!this.isInAdoptionWindow(nowMs)) {
			this.#adoptedFractions.clear();
			return;
		}

		for (const target of targets) {
			const headroom = Math.min(this.#maxFraction(target) - this.fraction(target.domain), caps.max - this.totalFraction);
			const added = Math.min(headroom, this.adoptedFraction(target.domain) - this.fraction(target.domain));
			if (added > epsilon) {
				this.#setFraction(target.domain, this.fraction(target.domain) + added);
				this.reason = ShiftReason.adopted;
			}
		}
	}

	#adjust(input: ShiftInput, elapsedMs: number): void {
		const {nowMs, state, load, targets, caps} = input;
		const isMeasured = state !== HomeState.serving || (load !== undefined && load.ageMs <= maxFreshAgeMs);
		if (!isMeasured) {
			if (this.totalFraction > 0 && (load === undefined || load.ageMs > decayAfterMs)) {
				this.#lower(Math.min((caps.maxPerMinute * elapsedMs) / minuteMs, this.#lowerBudget(caps)), targets);
				this.reason = ShiftReason.decayed;
			} else if (this.totalFraction > 0) {
				this.reason = ShiftReason.measurementsOld;
			}

			return;
		}

		const wantedFraction = this.wantedFraction(input);
		const utilization = state === HomeState.serving ? load!.loadPerS / Math.max(load!.capacityPerS, epsilon) : Number.POSITIVE_INFINITY;
		this.#updateDirection(wantedFraction, utilization);
		// The cooldown prevents oscillation, which cannot occur while a region is lost; waiting would only fail its requests.
		if (state !== HomeState.lost && nowMs - this.#lastChangeMs < cooldownMs) {
			return;
		}

		if (this.#direction > 0) {
			this.#raise(wantedFraction - this.totalFraction, input);
		} else if (this.#direction < 0) {
			this.#lower(Math.min(this.totalFraction - wantedFraction, this.#lowerBudget(caps), this.#maxStep(caps)), targets);
			this.reason = ShiftReason.lowered;
		}
	}

	/** Applies hysteresis: a change starts when the utilization leaves the band around the target utilization and ends when the wanted fraction is reached. */
	#updateDirection(wantedFraction: number, utilization: number): void {
		if (Math.sign(wantedFraction - this.totalFraction) !== this.#direction || Math.abs(wantedFraction - this.totalFraction) < epsilon) {
			this.#direction = 0;
		}

		if (wantedFraction > this.totalFraction + epsilon && utilization > targetUtilization * (1 + hysteresis)) {
			this.#direction = 1;
		} else if (wantedFraction < this.totalFraction - epsilon && utilization < targetUtilization * (1 - hysteresis)) {
			this.#direction = -1;
		}
	}

	#raise(missing: number, {state, caps, targets}: ShiftInput): void {
		const stepLimit = state === HomeState.lost ? caps.maxPerMinute : this.#maxStep(caps);
		let remaining = Math.min(missing, stepLimit, this.raiseBudget(caps));
		if (remaining <= epsilon) {
			return;
		}

		for (const region of new Set(targets.map(target => target.region))) {
			const available = targets
				.filter(target => target.region === region && target.ageMs <= maxFreshAgeMs)
				.map(target => ({domain: target.domain, headroom: this.#maxFraction(target) - this.fraction(target.domain)}))
				.filter(target => target.headroom > epsilon)
				.sort((a, b) => a.headroom - b.headroom);
			// Equal steps for all failure domains with headroom, so that VMs whose grants differ slightly shift the same blocks.
			for (const [index, target] of available.entries()) {
				const added = Math.min(target.headroom, remaining / (available.length - index));
				this.#setFraction(target.domain, this.fraction(target.domain) + added);
				remaining -= added;
				this.reason = ShiftReason.raised;
			}
		}
	}

	/** Lowers the shift by `amount`, starting with the least preferred target. */
	#lower(amount: number, targets: readonly ShiftTarget[]): void {
		const rank = new Map(targets.map((target, index) => [target.domain, index]));
		const domains = [...this.#fractions.keys()].sort((a, b) => (rank.get(b) ?? targets.length) - (rank.get(a) ?? targets.length));
		let remaining = amount;
		for (const domain of domains) {
			const taken = Math.min(remaining, this.fraction(domain));
			this.#setFraction(domain, this.fraction(domain) - taken);
			remaining -= taken;
		}
	}

	#maxFraction(target: ShiftTarget): number {
		const demandPerS = this.#demand.demandPerS ?? 0;
		return demandPerS > 0 ? Math.min(1, target.limitPerS / demandPerS) : 0;
	}

	#maxStep(caps: ShiftCaps): number {
		return (caps.maxPerMinute * cooldownMs) / minuteMs;
	}

	#lowerBudget(caps: ShiftCaps): number {
		return Math.max(0, caps.maxPerMinute - sumOf(this.#changes.map(change => change.lowered)));
	}

	#setFraction(domain: string, fraction: number): void {
		if (fraction > epsilon) {
			this.#fractions.set(domain, fraction);
		} else {
			this.#fractions.delete(domain);
		}
	}

	#recordChange(before: PastFractions, nowMs: number): void {
		let raised = 0;
		let lowered = 0;
		for (const domain of new Set([...before.fractions.keys(), ...this.#fractions.keys()])) {
			const change = this.fraction(domain) - (before.fractions.get(domain) ?? 0);
			raised += Math.max(0, change);
			lowered += Math.max(0, -change);
		}

		if (raised + lowered > epsilon) {
			this.#changes.push({atMs: nowMs, raised, lowered});
			this.#lastChangeMs = nowMs;
		}

		if (raised + lowered > epsilon || before.homeFraction !== this.homeFraction) {
			this.#pastFractions.push(before);
		}
	}
}

function sumOf(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
