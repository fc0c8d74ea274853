import {type Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop after which the port closes although connections keep coming; a turn accepts all that wait. */
const maxIterations = 50;

/**
Stops listening; calls `onEnded` when the last connection has ended.

Closing a port resets the connections that wait to be accepted, so it is closed right after a turn of the event loop that found none.
*/
export async function stopListening(server: Server, onEnded?: () => void): Promise<void> {
	let accepted = 0;
	const onConnection = (): void => {
		accepted++;
	};

	server.on('connection', onConnection);
	// The rest of the present turn may be past the phase that accepts connections.
	await nextTurn();
	let acceptedBefore;
	let iterations = 0;
	do {
		acceptedBefore = accepted;
		iterations++;
		await nextTurn();
	} while (accepted > acceptedBefore && iterations < maxIterations);

	server.off('connection', onConnection);
	// The HTTP server's own `close` would also cut connections whose first request is on its way.
	NetServer.prototype.close.call(server, onEnded);
}
