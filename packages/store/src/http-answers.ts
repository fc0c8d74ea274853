import {FescuewickError, ResultCode} from '@fescuewick/core';
import {type StoredObject} from './object-store.js';

/** Status and parsed body of a store answer. */
export type HttpAnswer = {readonly status: number; readonly body: unknown};

/** URL path of an object; each slash in the key separates two path segments. */
export function objectPath(key: string): string {
	return `/v1/objects/${key.split('/').map(segment => encodeURIComponent(segment)).join('/')}`;
}

/** Whether a parsed body is a stored object. */
export function isStoredObject(body: unknown): body is StoredObject {
	const candidate = body as Partial<StoredObject> | undefined;
	return typeof candidate === 'object' && candidate !== null && typeof candidate.key === 'string' && Number.isSafeInteger(candidate.version) && 'value' in candidate;
}

/** Parses the body of a successful answer; throws `storeMalformed`, or `storeOutcomeUnknown` for a write. */
export function parseBody(text: string, path: string, isWrite: boolean): unknown {
	try {
		return text === '' ? undefined : JSON.parse(text) as unknown;
	} catch (error) {
		throw new FescuewickError(isWrite ? ResultCode.storeOutcomeUnknown : ResultCode.storeMalformed, `store answered ${path} with text that is not JSON`, {cause: error});
	}
}

type CallStatus = {readonly status: number; readonly isWrite: boolean; readonly path: string; readonly retryAfter: string | undefined};

/** Throws the error for a status outside 2xx; the 404 of a read is left to the caller. */
export function checkStatus({status, isWrite, path, retryAfter}: CallStatus): void {
	if ((status >= 200 && status < 300) || (status === 404 && !isWrite)) {
		return;
	}

	switch (status) {
		case 409:
		case 412: {
			throw new FescuewickError(ResultCode.storeConflict, `object at ${path} has another version than expected`);
		}

		case 413: {
			throw new FescuewickError(ResultCode.storeValueTooLarge, `value for ${path} is too large for the store`);
		}

		case 429:
		case 503: {
			const retryAfterMs = retryAfter === undefined ? undefined : Number(retryAfter) * 1000;
			throw new FescuewickError(ResultCode.storeUnavailable, `store refused the call with status ${status}`, {
				retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : undefined,
			});
		}

		default: {
			// A proxy may report a server error after the store has applied the write, so its outcome is unknown.
			const code = isWrite && status >= 500 ? ResultCode.storeOutcomeUnknown : ResultCode.storeMalformed;
			throw new FescuewickError(code, `store answered ${path} with status ${status}`);
		}
	}
}

const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

/** Converts an error of the connection or the HTTP client to a store error; a `FescuewickError` is returned unchanged. */
export function toStoreError(error: unknown, isWrite: boolean): FescuewickError {
	if (error instanceof FescuewickError) {
		return error;
	}

	if (connectErrorCodes.has((error as {code?: string}).code ?? '')) {
		return new FescuewickError(ResultCode.storeUnavailable, 'store cannot be reached', {cause: error});
	}

	if (isWrite) {
		return new FescuewickError(ResultCode.storeOutcomeUnknown, 'no answer from the store to a write', {cause: error});
	}

	return new FescuewickError(ResultCode.storeTimeout, 'no answer from the store', {cause: error});
}
