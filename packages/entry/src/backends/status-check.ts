import {type Dispatcher} from 'undici';

/** Highest status that HTTP defines; the HTTP client passes on any number of three digits. */
const maxStatus = 599;

/** Returns the error of a response whose status is none that HTTP defines; undefined for a valid one. */
export function invalidStatusError(status: number): Error | undefined {
	return status >= 100 && status <= maxStatus ? undefined : new Error(`the response has the invalid status ${status}`);
}

/** Interceptor of an HTTP client that fails requests whose response has an invalid status, and closes the connection. */
export const rejectInvalidStatuses: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => dispatch(options, {
	onRequestStart(controller, context) {
		handler.onRequestStart?.(controller, context);
	},
	onResponseStart(controller, status, headers, statusMessage) {
		const error = invalidStatusError(status);
		if (error === undefined) {
			handler.onResponseStart?.(controller, status, headers, statusMessage);
		} else {
			controller.abort(error);
		}
	},
	onResponseData(controller, chunk) {
		handler.onResponseData?.(controller, chunk);
	},
	onResponseEnd(controller, trailers) {
		handler.onResponseEnd?.(controller, trailers);
	},
	onResponseError(controller, error) {
		handler.onResponseError?.(controller, error);
	},
});
