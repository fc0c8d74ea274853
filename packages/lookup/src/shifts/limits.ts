export {
	decayAfterMs, freshMs, grantUse, hysteresis, targetUse,
} from '@fescuewick/wire';

/** Cooldown between two changes of a shift that limits do not force; longer than the delay of measurements plus the time to live of answers. */
export const cooldownMs = 10_000;
/** Bandwidth that shifts may use between two regions: half of a link of 4 Gbit/s. */
export const maxLinkBytesPerS = 250_000_000;
/** Maximum growth per second of the admitted fraction of a region during its ramp-up. */
export const rampUpFractionPerS = 0.1;
/** The same while only the measured load shows headroom; lower, as reports lag by seconds. */
export const slowRampUpFractionPerS = 0.02;
/** Ratio of the reported capacity that is used while caches are cold. */
export const coldCapacityRatio = 0.5;
export const minuteMs = 60_000;

/** Limits of a service's shifts, as fractions. */
export type ShiftCaps = {readonly max: number; readonly maxPerMinute: number};

/** Caps of a service for which the configuration states none. */
export const defaultShiftCaps: ShiftCaps = {max: 0.5, maxPerMinute: 0.1};
