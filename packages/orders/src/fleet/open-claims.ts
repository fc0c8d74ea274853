import {type ClaimReleaseBody} from '@fescuewick/wire';

type OpenClaim = {readonly body: ClaimReleaseBody; readonly grantedAtMs: number};

/** Granted claims whose end was not reported yet, by holder: the process or VM that has to report it. */
export class OpenClaims {
	readonly #byHolder = new Map<string, Map<string, OpenClaim>>();

	/** Holders with at least one open claim. */
	get holders(): string[] {
		return [...this.#byHolder.keys()];
	}

	/** Adds a claim that was granted at a monotonic time. */
	add(holder: string, {workspace, orderKey, claimant}: ClaimReleaseBody, grantedAtMs: number): void {
		let claims = this.#byHolder.get(holder);
		if (claims === undefined) {
			claims = new Map();
			this.#byHolder.set(holder, claims);
		}

		const body = {workspace, orderKey, claimant};
		claims.set(keyOf(body), {body, grantedAtMs});
	}

	remove(holder: string, body: ClaimReleaseBody): void {
		const claims = this.#byHolder.get(holder);
		if (claims?.delete(keyOf(body)) === true && claims.size === 0) {
			this.#byHolder.delete(holder);
		}
	}

	/** Removes and returns the claims of a holder. */
	removeAllOf(holder: string): ClaimReleaseBody[] {
		const claims = [...this.#byHolder.get(holder)?.values() ?? []].map(({body}) => body);
		this.#byHolder.delete(holder);
		return claims;
	}

	/** Removes claims granted before a monotonic time; authorities report claims of that age as unknown anyway. */
	removeGrantedBefore(grantedBeforeMs: number): void {
		for (const [holder, claims] of this.#byHolder) {
			for (const [key, {grantedAtMs}] of claims) {
				if (grantedAtMs >= grantedBeforeMs) {
					// A map iterates in insertion order, so all later claims are newer.
					break;
				}

				claims.delete(key);
			}

			if (claims.size === 0) {
				this.#byHolder.delete(holder);
			}
		}
	}
}

// Order keys contain no control characters, so NUL is an unambiguous separator.
function keyOf({workspace, orderKey, claimant}: ClaimReleaseBody): string {
	return `${claimant}\u0000${orderKey}\u0000${workspace}`;
}
