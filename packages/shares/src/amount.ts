/** Amount of one resource: rate and burst of a workspace, or slots and connections of a server. */
export type Amount = {readonly ratePerS: number; readonly burst: number; readonly slots: number; readonly connections: number};

/** Dimensions of an amount. */
export const dimensions = ['ratePerS', 'burst', 'slots', 'connections'] as const;

/** Amount without rate, burst, slots and connections. */
export const zeroAmount: Amount = {
	ratePerS: 0, burst: 0, slots: 0, connections: 0,
};

/** Combines two amounts dimension by dimension. */
export function combine(first: Amount, second: Amount, operation: (a: number, b: number) => number): Amount {
	return {
		ratePerS: operation(first.ratePerS, second.ratePerS),
		burst: operation(first.burst, second.burst),
		slots: operation(first.slots, second.slots),
		connections: operation(first.connections, second.connections),
	};
}

/** Sum in each dimension. */
export function addAmounts(first: Amount, second: Amount): Amount {
	return combine(first, second, (a, b) => a + b);
}

/** Difference in each dimension; may be negative. */
export function subtractAmounts(first: Amount, second: Amount): Amount {
	return combine(first, second, (a, b) => a - b);
}

/** Minimum in each dimension. */
export function minAmounts(first: Amount, second: Amount): Amount {
	return combine(first, second, Math.min);
}

/** Maximum in each dimension. */
export function maxAmounts(first: Amount, second: Amount): Amount {
	return combine(first, second, Math.max);
}

/** Amount of a rate and a burst. */
export function rateAmount(ratePerS: number, burst: number): Amount {
	return {...zeroAmount, ratePerS, burst};
}

/** Amount of slots and connections. */
export function slotAmount(slots: number, connections: number): Amount {
	return {...zeroAmount, slots, connections};
}
