import {type IncomingMessage} from 'node:http';
import {FescuewickError, ResultCode} from '@fescuewick/core';

const systemPrefix = 'x-fescuewick-';
const keyHeaders = new Set(['authorization', 'x-api-key', 'proxy-authorization']);
/** Headers that concern one connection only. */
const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'host', 'http2-settings',
]);
/** Headers that make some servers run another method or path than the one that was routed. */
const overrideHeaders = new Set(['x-http-method', 'x-http-method-override', 'x-method-override', 'x-original-url', 'x-rewrite-url']);
/** Headers by which backend servers talk to the system. */
const backendHeaders = new Set(['x-shed', 'x-draining', 'idempotent-replay']);

const maxOrderKeyLength = 255;

/** The single value of a header; throws `code` when it appears more than once. */
function singleValue(rawHeaders: readonly string[], name: string, code: ResultCode): string | undefined {
	let found: string | undefined;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (rawHeaders[index].toLowerCase() === name) {
			if (found !== undefined) {
				throw new FescuewickError(code, `the header ${name} was given more than once`);
			}

			found = rawHeaders[index + 1];
		}
	}

	return found;
}

/** The presented key; undefined if there is none. Throws `duplicateKeyHeader` or `keyUnknown` for a malformed one. */
export function readKey(rawHeaders: readonly string[]): string | undefined {
	const authorization = singleValue(rawHeaders, 'authorization', ResultCode.duplicateKeyHeader);
	const apiKey = singleValue(rawHeaders, 'x-api-key', ResultCode.duplicateKeyHeader);
	if (authorization !== undefined && apiKey !== undefined) {
		throw new FescuewickError(ResultCode.duplicateKeyHeader, 'a key was given in two headers');
	}

	if (authorization === undefined) {
		return apiKey === '' ? undefined : apiKey;
	}

	const match = /^bearer +([^\s,]+)$/i.exec(authorization);
	if (match === null) {
		throw new FescuewickError(ResultCode.keyUnknown, 'the authorization header is not of the form "Bearer <key>"');
	}

	return match[1];
}

/** The order key; undefined if there is none. Throws `orderKeyInvalid`. */
export function readOrderKey(rawHeaders: readonly string[]): string | undefined {
	const key = singleValue(rawHeaders, 'idempotency-key', ResultCode.orderKeyInvalid);
	if (key !== undefined && (key.length === 0 || key.length > maxOrderKeyLength || !/^[\u0021-\u007E]+$/.test(key))) {
		throw new FescuewickError(ResultCode.orderKeyInvalid, `the order key must be 1 to ${maxOrderKeyLength} printable ASCII characters without spaces`);
	}

	return key;
}

/** Throws `malformedRequest` for a request without exactly one host and for one that asks for another protocol. */
export function checkProtocol({headers, rawHeaders, httpVersion}: Pick<IncomingMessage, 'headers' | 'rawHeaders' | 'httpVersion'>): void {
	const host = singleValue(rawHeaders, 'host', ResultCode.malformedRequest);
	if (host === undefined && httpVersion !== '1.0') {
		throw new FescuewickError(ResultCode.malformedRequest, 'the host header is missing');
	}

	// Some clients offer HTTP/2 on every request; an offer may be ignored, other protocols may not.
	if (headers.upgrade !== undefined && headers.upgrade !== 'h2c') {
		throw new FescuewickError(ResultCode.malformedRequest, 'protocol upgrades are not supported');
	}
}

/**
Headers of a request that may go to a backend server, as a flat list.

Removes what concerns the caller's connection, what only the system may set, and each value that holds a key by `holdsKey`. Names with underscores are compared as with hyphens, because some servers do not tell them apart.
*/
export function forwardHeaders(rawHeaders: readonly string[], isKeyed: boolean, containsKey: (value: string) => boolean): string[] {
	const nominated = connectionOptions(rawHeaders);
	const forwarded: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index].toLowerCase();
		const canonicalName = name.includes('_') ? name.replaceAll('_', '-') : name;
		const removed = hopByHopHeaders.has(canonicalName) || overrideHeaders.has(canonicalName) || nominated?.has(name) === true || canonicalName === 'content-length'
			|| canonicalName.startsWith(systemPrefix) || (isKeyed && keyHeaders.has(canonicalName)) || containsKey(rawHeaders[index + 1]);
		if (!removed) {
			forwarded.push(name, rawHeaders[index + 1]);
		}
	}

	return forwarded;
}

/** Headers of an answer that may go to the caller. */
export function answerHeaders(headers: Readonly<Record<string, string | string[]>>): Record<string, string | string[]> {
	const kept: Record<string, string | string[]> = {};
	const nominated = headers.connection === undefined ? undefined : connectionOptions(['connection', String(headers.connection)]);
	for (const [name, value] of Object.entries(headers)) {
		if (!hopByHopHeaders.has(name) && !backendHeaders.has(name) && !name.startsWith(systemPrefix) && nominated?.has(name) !== true) {
			kept[name] = value;
		}
	}

	return kept;
}

/** Names that `connection` headers declare to concern this connection only. */
function connectionOptions(rawHeaders: readonly string[]): Set<string> | undefined {
	let names: Set<string> | undefined;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		// Most connections say nothing but whether they stay open.
		if (rawHeaders[index].toLowerCase() === 'connection' && !/^(?:keep-alive|close)$/i.test(rawHeaders[index + 1])) {
			names ??= new Set();
			for (const name of rawHeaders[index + 1].split(',')) {
				names.add(name.trim().toLowerCase());
			}
		}
	}

	// The length of a body must survive, whatever a sender declares.
	names?.delete('content-length');
	return names;
}
