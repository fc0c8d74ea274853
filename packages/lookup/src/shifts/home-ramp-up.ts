import {
	maxFreshAgeMs, hysteresis, rampUpFractionPerS, slowRampUpFractionPerS, targetUtilization,
} from './limits.js';
import {type RegionLoad} from './measurements.js';

/** State of a home region. */
export enum HomeState {
	serving = 'serving',
	drained = 'drained',
	lost = 'lost',
}

/** Input of one step of a ramp-up. */
export type RampUpInput = {
	readonly nowMs: number;
	readonly elapsedMs: number;
	readonly state: HomeState;
	readonly load: RegionLoad | undefined;
	/** Time after a change until all cached answers and load reports from before it have expired. */
	readonly settleMs: number;
	/** Last known demand of the region; undefined or 0 if unknown. */
	readonly demandPerS: number | undefined;
	/** Fraction of the demand that is shifted to other regions. */
	readonly totalFraction: number;
};

const epsilon = 1e-9;
/** A cold region whose utilization is below this counts as just started. */
const coldStartUtilization = 0.3;
/** Initial fraction of the blocks admitted to a region that starts together with this process. */
const coldStartFraction = 0.1;

/** Ramp-up of a home region after a loss or a cold start: the fraction of its blocks that are admitted grows only as far as the measured capacity allows. */
export class HomeRampUp {
	#fraction = 1;
	#isRampingUp = false;
	#hasServed = false;
	#isFirstStep = true;
	#lastBelowSafeAtMs = Number.NEGATIVE_INFINITY;

	/** Of the blocks that are not shifted, the fraction that is directed to the home region. */
	get fraction(): number {
		return this.#fraction;
	}

	get isRampingUp(): boolean {
		return this.#isRampingUp;
	}

	step(input: RampUpInput): void {
		const {state, load, elapsedMs} = input;
		if (state === HomeState.lost) {
			this.#resetAfterLoss(input);
			return;
		}

		this.#hasServed = true;
		if (load === undefined) {
			return;
		}

		this.#detectColdStart(state, load);
		if (this.#isRampingUp) {
			const {limit, fractionPerS} = this.#rateOfChange(input, load);
			const change = fractionPerS * elapsedMs / 1000;
			this.#fraction = change < 0 ? Math.max(limit, this.#fraction + change) : Math.min(limit, this.#fraction + change);
			this.#isRampingUp = this.#fraction < 1;
		}
	}

	/** Sets the fraction to 0, unless the region has never served and its demand is unknown: that is its first start, not a recovery. */
	#resetAfterLoss({demandPerS = 0}: RampUpInput): void {
		if (this.#hasServed || demandPerS > 0) {
			this.#fraction = 0;
			this.#isRampingUp = true;
		}
	}

	/** Starts a ramp-up if this process starts together with the region and so has not observed its demand. */
	#detectColdStart(state: HomeState, load: RegionLoad): void {
		if (this.#isFirstStep && state === HomeState.serving && (load.ageMs > maxFreshAgeMs || (load.isCold && utilizationOf(load) < coldStartUtilization))) {
			this.#isRampingUp = true;
			this.#fraction = coldStartFraction;
		}

		this.#isFirstStep = false;
	}

	/** Change of the fraction per second and the limit at which it stops. */
	#rateOfChange({nowMs, settleMs, demandPerS = 0, totalFraction}: RampUpInput, load: RegionLoad): {limit: number; fractionPerS: number} {
		const isDemandKnown = demandPerS > 0;
		if (load.ageMs > maxFreshAgeMs) {
			// With unknown demand the fraction still grows slowly, so that missing measurements do not reject clients indefinitely.
			return {limit: 1, fractionPerS: isDemandKnown ? 0 : slowRampUpFractionPerS};
		}

		const utilization = utilizationOf(load);
		if (!isDemandKnown && utilization < coldStartUtilization) {
			// Low utilization allows the normal rate even though the demand is unknown.
			return {limit: 1, fractionPerS: rampUpFractionPerS};
		}

		const safeFraction = isDemandKnown ? Math.min(1, targetUtilization * load.capacityPerS / Math.max(demandPerS * (1 - totalFraction), epsilon)) : 0;
		if (this.#fraction < safeFraction) {
			this.#lastBelowSafeAtMs = nowMs;
			return {limit: safeFraction, fractionPerS: rampUpFractionPerS};
		}

		if (utilization > targetUtilization * (1 + hysteresis)) {
			return {limit: safeFraction, fractionPerS: -rampUpFractionPerS};
		}

		// The demand may have fallen during the loss, so low utilization allows growth beyond the safe fraction.
		const hasHeadroom = nowMs - this.#lastBelowSafeAtMs > settleMs && utilization < targetUtilization * (1 - hysteresis);
		return {limit: 1, fractionPerS: hasHeadroom ? slowRampUpFractionPerS : 0};
	}
}

function utilizationOf({loadPerS, capacityPerS}: RegionLoad): number {
	return loadPerS / Math.max(capacityPerS, epsilon);
}
