import {maskHigh, maskLow, type ClientBlock} from '../blocks/address.js';
import {prefixHash} from '../blocks/prefix-hash-table.js';

/** Prefix lengths of the largest blocks that are shifted as a unit; a table entry with a shorter prefix is split into such units, so that it is not shifted at once. */
const unitPrefixLength = {v4: 24, v6: 48} as const;
/** Arbitrary constant that makes the second hash independent of the first. */
const lowHashSeed = 0x9E_37_79_B9;
const lowHashRange = 2 ** 21;

/** Fractions of a home region's blocks that are allocated to a failure domain of another region. */
export type ShiftAllocation = {
	readonly domain: string;
	readonly region: string;
	/** Fraction of the blocks that are shifted to the failure domain. */
	readonly fraction: number;
	/** Fraction of the blocks that are shifted to the failure domain or may fail over to it; at least `fraction`. */
	readonly standbyFraction: number;
};

/** The allocation by which a block is shifted, or else the one to which it may fail over, if any. */
export type BlockPlacement = {readonly shifted: ShiftAllocation | undefined; readonly standby: ShiftAllocation | undefined};

/** Stable position in [0, 1) of the unit (see `unitPrefixLength`) that a client belongs to; `matchedLength` is the prefix length of the matched table entry. Hashes bits instead of text because it runs for each look-up. */
export function blockPosition(block: ClientBlock, matchedLength: number): number {
	const length = Math.min(block.prefixLength, Math.max(unitPrefixLength[block.family], matchedLength));
	const high = maskHigh(block.high, length) + length;
	const low = maskLow(block.low, length);
	const lowBits = Math.floor(prefixHash(low + lowHashSeed, high) / 2048);
	return ((prefixHash(high, low) * lowHashRange) + lowBits) / (2 ** 53);
}

/**
Whether a block position belongs to the allocation of size `fraction` of the target failure domain with this rank.

The allocations of a target are nested: a larger fraction contains every smaller one, whatever the fractions of other targets are. VMs with different fractions therefore shift, together, no more than the largest of them. Each segment of [0, 1) has two targets whose allocations grow towards each other from its ends, so that allocations overlap only when two of them together exceed their segment.
*/
export function isInAllocation(position: number, rank: number, targetCount: number, fraction: number): boolean {
	if (fraction <= 0) {
		return false;
	}

	const segments = Math.ceil(targetCount / 2);
	const segment = Math.floor(rank / 2);
	const isGrowingUp = rank % 2 === 0;
	const start = (isGrowingUp ? segment : segment + 1) / segments;
	const distance = isGrowingUp ? position - start : start - position;
	const wrapped = distance < 0 ? distance + 1 : distance;
	return isGrowingUp ? wrapped < fraction : (wrapped > 0 ? wrapped : 1) <= fraction;
}

/** Finds the placement of a block; `allocations` lists the failure domains of every other region, nearest first, in the same order on all VMs. */
export function placeBlock(position: number, allocations: readonly ShiftAllocation[]): BlockPlacement {
	let standby: ShiftAllocation | undefined;
	for (const [rank, allocation] of allocations.entries()) {
		if (isInAllocation(position, rank, allocations.length, allocation.fraction)) {
			return {shifted: allocation, standby: undefined};
		}

		if (standby === undefined && isInAllocation(position, rank, allocations.length, allocation.standbyFraction)) {
			standby = allocation;
		}
	}

	return {shifted: undefined, standby};
}
