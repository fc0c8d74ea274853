import {FescuewickError, ResultCode} from '@fescuewick/core';

/** Query parameters that are refused because they usually carry keys. */
const keyParameters = new Set(['key', 'apikey', 'api_key', 'api-key', 'x-api-key', 'x_api_key', 'access_token', 'authorization', 'bearer']);

/** A request target, split into its validated path and its query. */
export type Target = {readonly path: string; readonly query: string};

/**
Validates and splits a request target.

Throws `malformedRequest` for targets that a backend server might resolve to another path than the routed one: a request must not be admitted by an open route and run on a keyed one. Throws `keyInQuery` for parameters that carry keys; `isKey` returns whether a value is an issued key.
*/
export function parseTarget(url: string, isKey: (value: string) => boolean): Target {
	const index = url.indexOf('?');
	const path = index === -1 ? url : url.slice(0, index);
	const query = index === -1 ? '' : url.slice(index);
	if (!path.startsWith('/') || path.startsWith('//') || url.includes('#')) {
		throw new FescuewickError(ResultCode.malformedRequest, 'the request target must be an absolute path');
	}

	checkSegments(path);
	if (query !== '') {
		checkQuery(query, isKey);
	}

	return {path, query};
}

function checkSegments(path: string): void {
	if (!/^[!-[\]-~]*$/.test(path) || /%(?![\da-f]{2})|%(?:25)*(?:2f|5c|00|252e)/i.test(path)) {
		throw new FescuewickError(ResultCode.malformedRequest, 'the path contains a character or an encoding that is not accepted');
	}

	if (path.includes('.') || path.includes('%2')) {
		for (const segment of path.split('/')) {
			// Some servers remove path parameters before they resolve dot segments.
			const decodedSegment = segment.replaceAll(/%2e/gi, '.').split(';')[0];
			if (decodedSegment === '.' || decodedSegment === '..') {
				throw new FescuewickError(ResultCode.malformedRequest, 'the path contains a dot segment');
			}
		}
	}
}

function checkQuery(query: string, isKey: (value: string) => boolean): void {
	for (const [name, value] of new URLSearchParams(query)) {
		if (keyParameters.has(name.toLowerCase()) || isKey(value)) {
			throw new FescuewickError(ResultCode.keyInQuery, 'a key was given in the query string; send it in a header');
		}
	}
}
