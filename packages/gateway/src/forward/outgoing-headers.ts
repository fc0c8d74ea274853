import {type IncomingMessage} from 'node:http';
import {forwardHeaders} from '@fescuewick/entry/http';
import {type AddedFields, type HeaderDialect} from './header-dialect.js';

/** Headers of a request to a backend server, as a list of alternating names and values: the caller's headers without reserved ones and without its API key, then those that the system adds. */
export function outgoingHeaders(request: Pick<IncomingMessage, 'rawHeaders' | 'headers'>, key: string | undefined, dialect: HeaderDialect, fields: AddedFields): string[] {
	const headers = forwardHeaders(request.rawHeaders, false, value => key !== undefined && value.includes(key));
	return ['host', request.headers.host!, ...unreservedHeaders(headers, name => dialect.isReserved(name)), ...dialect.addedHeaders(fields)];
}

function * unreservedHeaders(headers: readonly string[], isReserved: (name: string) => boolean): Generator<string> {
	for (let index = 0; index < headers.length; index += 2) {
		if (!isReserved(headers[index].toLowerCase())) {
			yield headers[index];
			yield headers[index + 1];
		}
	}
}
