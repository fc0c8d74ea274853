export {
	decayAfterMs, maxFreshAgeMs, maxGrantUtilization, hysteresis, targetUtilization,
} from '@fescuewick/wire';

/** Minimum time between two changes of a shift that follow the utilization; longer than the delay of measurements plus the time to live of answers. Reductions that limits require are not delayed. */
export const cooldownMs = 10_000;
/** Bandwidth that shifts may use between two regions: half of a link of 4 Gbit/s. */
export const maxLinkBytesPerS = 250_000_000;
/** Maximum growth per second of the admitted fraction of a region during its ramp-up. */
export const rampUpFractionPerS = 0.1;
/** Maximum growth per second of the admitted fraction while only the measured load shows headroom; lower, as reports are delayed by seconds. */
export const slowRampUpFractionPerS = 0.02;
/** Fraction of the reported capacity that counts while caches are cold. */
export const coldCapacityFraction = 0.5;
export const minuteMs = 60_000;

/** Limits of a service's shifts, as fractions. */
export type ShiftCaps = {readonly max: number; readonly maxPerMinute: number};

/** Caps of a service for which the configuration states none. */
export const defaultShiftCaps: ShiftCaps = {max: 0.5, maxPerMinute: 0.1};
