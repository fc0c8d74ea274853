import {type IncomingMessage} from 'node:http';
import {forwardHeaders} from '@fescuewick/entry/http';
import {type ForwardedFields, type HeaderDialect} from './header-dialect.js';

/** Headers of a request as sent to a backend server, as a flat list: the caller's without those that only the system may set and without its key, and the system's own. */
export function outgoingHeaders(request: Pick<IncomingMessage, 'rawHeaders' | 'headers'>, key: string | undefined, dialect: HeaderDialect, fields: ForwardedFields): string[] {
	const headers = forwardHeaders(request.rawHeaders, false, value => key !== undefined && value.includes(key));
	return ['host', request.headers.host!, ...unreservedHeaders(headers, name => dialect.isReserved(name)), ...dialect.forwarded(fields)];
}

function * unreservedHeaders(headers: readonly string[], isReserved: (name: string) => boolean): Generator<string> {
	for (let index = 0; index < headers.length; index += 2) {
		if (!isReserved(headers[index].toLowerCase())) {
			yield headers[index];
			yield headers[index + 1];
		}
	}
}
