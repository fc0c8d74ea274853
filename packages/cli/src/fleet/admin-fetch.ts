import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {request} from 'undici';

/** A request to a VM's admin endpoint. */
export type AdminRequest = {readonly method: 'GET' | 'POST'; readonly url: string; readonly body?: unknown};
/** Status and parsed body of the response to an admin request. */
export type AdminResponse = {readonly status: number; readonly body: unknown};

/** Sends a request to an admin endpoint; throws `endpointUnreachable` if there is no complete, parseable response. */
export type AdminFetch = (adminRequest: AdminRequest) => Promise<AdminResponse>;

const maxResponseCharacters = 4 * 1024 * 1024;

/** Creates a function that sends admin requests over HTTP with a timeout. */
export function createAdminFetch(timers: TimerService, timeoutMs: number): AdminFetch {
	return async ({method, url, body}) => {
		const timeoutController = new AbortController();
		const cancel = timers.after(timeoutMs, () => {
			timeoutController.abort(new Error(`no complete response within ${timeoutMs} ms`));
		});
		try {
			const response = await request(url, {
				method,
				headers: {'content-type': 'application/json'},
				body: body === undefined ? undefined : JSON.stringify(body),
				signal: timeoutController.signal,
			});
			const text = await readBody(response.body);
			return {status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) as unknown};
		} catch (error) {
			throw new FescuewickError(ResultCode.endpointUnreachable, describeError(error));
		} finally {
			cancel();
		}
	};
}

function describeError(error: unknown): string {
	const {message = '', code = ''} = error as {message?: string; code?: string};
	return message === '' ? (code === '' ? String(error) : code) : message;
}

async function readBody(body: AsyncIterable<Uint8Array>): Promise<string> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of body) {
		text += decoder.decode(chunk, {stream: true});
		if (text.length > maxResponseCharacters) {
			throw new Error(`response body is longer than ${maxResponseCharacters} characters`);
		}
	}

	return text;
}
