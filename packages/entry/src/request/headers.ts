import {type IncomingMessage} from 'node:http';
import {FescuewickError, ResultCode} from '@fescuewick/core';

const systemPrefix = 'x-fescuewick-';
const keyHeaders = new Set(['authorization', 'x-api-key', 'proxy-authorization']);
/** Headers that apply to one connection only. */
const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'host', 'http2-settings',
]);
/** Headers by which some servers override the routed method or path. */
const overrideHeaders = new Set(['x-http-method', 'x-http-method-override', 'x-method-override', 'x-original-url', 'x-rewrite-url']);
/** Headers of backend servers that are meant for the entry daemon. */
const backendHeaders = new Set(['x-shed', 'x-draining', 'idempotent-replay']);

const maxOrderKeyLength = 255;

/** The value of a header; throws `code` if the header appears more than once. */
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

/** The API key of a request; undefined if there is none. Throws `duplicateKeyHeader`, or `keyUnknown` for a malformed header. */
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

/** The order key of a request; undefined if there is none. Throws `orderKeyInvalid`. */
export function readOrderKey(rawHeaders: readonly string[]): string | undefined {
	const key = singleValue(rawHeaders, 'idempotency-key', ResultCode.orderKeyInvalid);
	if (key !== undefined && (key.length === 0 || key.length > maxOrderKeyLength || !/^[\u0021-\u007E]+$/.test(key))) {
		throw new FescuewickError(ResultCode.orderKeyInvalid, `the order key must be 1 to ${maxOrderKeyLength} printable ASCII characters without spaces`);
	}

	return key;
}

/** Throws `malformedRequest` for a header name that is followed by white space, which some versions of Node.js accept and some servers take for another header. */
export function checkHeaderNames(rawHeaders: readonly string[]): void {
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (/\s/.test(rawHeaders[index])) {
			throw new FescuewickError(ResultCode.malformedRequest, 'a header name contains white space');
		}
	}
}

/** Throws `malformedRequest` for a missing or repeated host header and for protocol upgrades. */
export function checkProtocol({headers, rawHeaders, httpVersion}: Pick<IncomingMessage, 'headers' | 'rawHeaders' | 'httpVersion'>): void {
	checkHeaderNames(rawHeaders);
	const host = singleValue(rawHeaders, 'host', ResultCode.malformedRequest);
	if (host === undefined && httpVersion !== '1.0') {
		throw new FescuewickError(ResultCode.malformedRequest, 'the host header is missing');
	}

	// Some clients offer an upgrade to HTTP/2 with every request; that offer may be ignored, other upgrades may not.
	if (headers.upgrade !== undefined && headers.upgrade !== 'h2c') {
		throw new FescuewickError(ResultCode.malformedRequest, 'protocol upgrades are not supported');
	}
}

/**
The headers of a request that are forwarded to a backend server, as a flat list.

Removes hop-by-hop headers, headers that only the system may set, and headers whose value contains a key according to `containsKey`. Underscores in names are compared as hyphens, because some servers treat them alike.
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

/** The headers of an answer that are passed on to the caller. */
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

/** Header names that `connection` headers declare as hop-by-hop; undefined if there are none. */
function connectionOptions(rawHeaders: readonly string[]): Set<string> | undefined {
	let names: Set<string> | undefined;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		// Most requests list only `keep-alive` or `close`, which name no header.
		if (rawHeaders[index].toLowerCase() === 'connection' && !/^(?:keep-alive|close)$/i.test(rawHeaders[index + 1])) {
			names ??= new Set();
			for (const name of rawHeaders[index + 1].split(',')) {
				names.add(name.trim().toLowerCase());
			}
		}
	}

	// The length of a body must be kept, even if the sender declares it as hop-by-hop.
	names?.delete('content-length');
	return names;
}
