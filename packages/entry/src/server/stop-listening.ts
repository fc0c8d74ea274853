import {type Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import {setImmediate as nextIteration} from 'node:timers/promises';

/** Event loop iterations after which the port is closed even if connections keep arriving; an iteration accepts all pending ones. */
const maxIterations = 50;

/**
Stops listening; calls `onEnded` when the last connection has closed.

Closing a port resets connections that are pending in its accept queue, so it is closed right after an event loop iteration that accepted none.
*/
export async function stopListening(server: Server, onEnded?: () => void): Promise<void> {
	let accepted = 0;
	const onConnection = (): void => {
		accepted++;
	};

	server.on('connection', onConnection);
	// The current iteration may be past the phase that accepts connections.
	await nextIteration();
	let acceptedBefore;
	let iterations = 0;
	do {
		acceptedBefore = accepted;
		iterations++;
		await nextIteration();
	} while (accepted > acceptedBefore && iterations < maxIterations);

	server.off('connection', onConnection);
	// `close` of the HTTP server would also close connections whose first request has not arrived yet.
	NetServer.prototype.close.call(server, onEnded);
}
