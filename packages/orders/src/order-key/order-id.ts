import {createHash} from 'node:crypto';

/** Identifies an order: the first 128 bits of SHA-256 over workspace and key. */
export type OrderId = {
	/** Lower-case hexadecimal form, 32 characters. */
	readonly hex: string;
	/** The same bits as four unsigned 32-bit numbers. */
	readonly words: readonly [number, number, number, number];
};

/** The first 64 bits of SHA-256 over a claimant; two claimants of an order have the same digest with probability 2^-64. */
export type ClaimantDigest = readonly [number, number];

/** Computes the id of an order; the hash input starts with the length of the workspace, so that no two pairs of workspace and key give the same input. */
export function orderId(workspace: string, key: string): OrderId {
	const digest = createHash('sha256').update(`${workspace.length}:${workspace}${key}`).digest();
	return {
		hex: digest.toString('hex', 0, 16),
		words: [digest.readUInt32BE(0), digest.readUInt32BE(4), digest.readUInt32BE(8), digest.readUInt32BE(12)],
	};
}

/** Computes the digest that is stored for a claimant. */
export function claimantDigest(claimant: string): ClaimantDigest {
	const digest = createHash('sha256').update(claimant).digest();
	return [digest.readUInt32BE(0), digest.readUInt32BE(4)];
}

/** Whether two digests belong to the same claimant. */
export function isSameClaimant(first: ClaimantDigest, second: ClaimantDigest): boolean {
	return first[0] === second[0] && first[1] === second[1];
}
