import {createHash} from 'node:crypto';

/**
Hash that detects whether a repeated order has the same content: 32 bits of SHA-256 over method, path and body, never 0.

The query is excluded, because callers may put data there that differs between attempts. Only the buffered beginning of a long body is hashed.
*/
export function contentHash(method: string, target: string, body: Uint8Array): number {
	const query = target.indexOf('?');
	const path = query === -1 ? target : target.slice(0, query);
	// Methods and validated paths contain no space, so different requests cannot give the same hash input.
	const hash = createHash('sha256').update(`${method} ${path} `).update(body).digest().readUInt32BE(0);
	return hash === 0 ? 1 : hash;
}
