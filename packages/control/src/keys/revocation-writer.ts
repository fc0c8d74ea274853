import {
	FescuewickError, ResultCode, toFescuewickError, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	applyConfiguration, loadConfiguration, type ConfigurationDocument,
} from '@fescuewick/config';
import {type Random} from '@fescuewick/membership';
import {type ObjectStore} from '@fescuewick/store';

/** Readers delay their writes by a random time up to this, so that the first write usually makes the others unnecessary. */
const maxWriteDelayMs = 2000;
const author = 'fescuewick-control';

/** Dependencies of a revocation writer. */
export type RevocationWriterOptions = {
	readonly store: ObjectStore;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: Random;
	/** Whether a key hash is revoked. */
	readonly isRevoked: (hash: string) => boolean;
	/** Whether this node has to write: it is a reader, the store is reachable, and the configuration contains a revoked key. */
	readonly isDue: () => boolean;
};

/** Removes revoked keys from the configuration in the store. */
export class RevocationWriter {
	readonly #options: RevocationWriterOptions;
	#isWritePending = false;
	#failures = 0;

	constructor(options: RevocationWriterOptions) {
		this.#options = options;
	}

	/** Writes after a random delay if a write is due; called at regular intervals. */
	async writeIfDue(): Promise<void> {
		if (this.#isWritePending || !this.#options.isDue()) {
			return;
		}

		this.#isWritePending = true;
		try {
			const maxDelayMs = maxWriteDelayMs * (2 ** Math.min(this.#failures, 3));
			await this.#options.timers.sleep(this.#options.random() * maxDelayMs);
			if (this.#options.isDue()) {
				await this.#write();
			}

			this.#failures = 0;
		} catch (error) {
			this.#failures++;
			const {code} = toFescuewickError(error);
			// Another reader or an operator changed the configuration first; the next check determines whether a write is still due.
			if (code !== ResultCode.configurationConflict) {
				this.#options.logger.warn({err: error, code}, 'revoked keys could not be removed from the configuration');
			}
		} finally {
			this.#isWritePending = false;
		}
	}

	async #write(): Promise<void> {
		const {store, isRevoked, logger} = this.#options;
		const base = await loadConfiguration(store);
		const revokedKeys = base?.document.keys.filter(key => isRevoked(key.sha256)) ?? [];
		if (base === undefined || revokedKeys.length === 0) {
			return;
		}

		const document: ConfigurationDocument = {...base.document, keys: base.document.keys.filter(key => !isRevoked(key.sha256))};
		const summary = `withdraw keys ${revokedKeys.map(key => key.id).join(', ')}`.slice(0, 200);
		const {revision} = await applyConfiguration(store, base, document, {author, summary});
		logger.info({revision, keys: revokedKeys.length}, 'removed revoked keys from the configuration');
	}
}

/** Throws `objectUnknown` unless the text is a SHA-256 in lower-case hexadecimal. */
export function requireKeyHash(hash: string): void {
	if (!/^[\da-f]{64}$/.test(hash)) {
		throw new FescuewickError(ResultCode.objectUnknown, 'key hash is not a SHA-256 in lower-case hexadecimal');
	}
}
