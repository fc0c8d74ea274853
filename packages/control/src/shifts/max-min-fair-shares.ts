/** Divides `total` by max-min fairness: no share exceeds its demand, and no share could be increased without reducing one that is smaller or equal. */
export function maxMinFairShares<Key>(demands: ReadonlyMap<Key, number>, total: number): Map<Key, number> {
	const shares = new Map<Key, number>();
	const ascending = [...demands].sort(([, a], [, b]) => a - b);
	let remaining = Math.max(0, total);
	for (const [index, [key, amount]] of ascending.entries()) {
		const share = Math.min(amount, remaining / (ascending.length - index));
		shares.set(key, share);
		remaining -= share;
	}

	return shares;
}
