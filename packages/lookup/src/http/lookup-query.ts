import {FescuewickError, ResultCode} from '@fescuewick/core';
import {parseClientBlock, type ClientBlock} from '../blocks/address.js';

/** Validated parameters of a look-up. */
export type LookupQuery = {readonly service: string; readonly from: string; readonly block: ClientBlock};

const maxServiceLength = 64;

/** Validates the parameters of a look-up; `from` defaults to the remote address of the connection. Throws `malformedRequest`. */
export function parseLookupQuery(query: Readonly<Record<string, string | string[]>>, remoteAddress: string): LookupQuery {
	const service = singleValue(query, 'service');
	const from = query.from === undefined ? remoteAddress : singleValue(query, 'from');
	if (service.length > maxServiceLength) {
		throw new FescuewickError(ResultCode.malformedRequest, `parameter service is longer than ${maxServiceLength} characters`);
	}

	const block = parseClientBlock(from);
	if (block === undefined) {
		throw new FescuewickError(ResultCode.malformedRequest, 'parameter from is not an IPv4 or IPv6 address or block');
	}

	for (const name in query) {
		if (name !== 'service' && name !== 'from') {
			throw new FescuewickError(ResultCode.malformedRequest, `parameter ${name.slice(0, maxServiceLength)} is not known`);
		}
	}

	return {service, from, block};
}

function singleValue(query: Readonly<Record<string, string | string[]>>, name: string): string {
	const value = query[name];
	if (value === undefined || value === '') {
		throw new FescuewickError(ResultCode.malformedRequest, `parameter ${name} is missing`);
	}

	if (typeof value !== 'string') {
		throw new FescuewickError(ResultCode.malformedRequest, `parameter ${name} appears more than once`);
	}

	return value;
}
