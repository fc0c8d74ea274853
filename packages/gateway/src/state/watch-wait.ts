/** Longest wait of a watch, in milliseconds; changes shorten it, and `StoreChecker` finds those that a silent watch does not deliver. The platform allows 30 s; its history reaches back 20 s. */
const maxWatchWaitMs = 16_000;

/** Wait of the next watch; `random` in [0, 1) spreads the watches of different VMs over a quarter of it. */
export function watchWaitMs(random: number): number {
	return Math.round(maxWatchWaitMs * (1 - (random / 4)));
}
