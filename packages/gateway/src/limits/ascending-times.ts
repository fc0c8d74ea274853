/** Removes the times up to `untilMs` from the start of an ascending list; returns their number. */
export function removeUntil(timesMs: number[], untilMs: number): number {
	let count = 0;
	while (count < timesMs.length && timesMs[count] <= untilMs) {
		count++;
	}

	timesMs.splice(0, count);
	return count;
}
