import {performance} from 'node:perf_hooks';
import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** What a relay does with new connections. */
export enum RelayMode {
	/** Forwards bytes in both directions. */
	open = 'open',
	/** Accepts connections and drops all their bytes, also after the mode changes, as behind a partition. */
	dropping = 'dropping',
	/** Closes new connections at once, as when nothing listens at the target. */
	refusing = 'refusing',
}

/** A TCP relay on loopback between the two ends of a path, which can lose the state of open connections. */
export type TcpRelay = {
	/** `ip:port` to connect to in place of the target. */
	readonly address: string;
	/** Number of accepted connections that the client's side has not closed. */
	connectionCount(): number;
	setMode(mode: RelayMode): void;
	/** Drops all further bytes of the connections that are open now, permanently and without closing them; new ones are not affected. */
	silenceOpenConnections(): void;
	/** Drops what the target sends on the connections that are open now; bytes to the target are still forwarded. */
	silenceAnswers(): void;
	/** Resets the connections that are open now, at both ends. */
	resetOpenConnections(): void;
	/** Delays all forwarded bytes by this time, in milliseconds; their order is kept. */
	setDelay(delayMs: number): void;
	/** While set, forwards no bytes of any connection and drops none, as when the process at one end is paused. */
	setPaused(isPaused: boolean): void;
	close(): Promise<void>;
};

/** Sockets to the client and to the target; `upstream` is undefined for connections that were accepted in mode `dropping`. */
type RelayedConnection = {readonly downstream: Socket; readonly upstream: Socket | undefined; isSilent: boolean; answersAreSilent: boolean};

type DelaySetting = {delayMs: number};

/** Starts a relay to `target` (`ip:port`) on a free loopback port. */
export async function startTcpRelay(target: string): Promise<TcpRelay> {
	const separator = target.lastIndexOf(':');
	const targetAddress = {host: target.slice(0, separator), port: Number(target.slice(separator + 1))};
	const connections = new Set<RelayedConnection>();
	let mode = RelayMode.open;
	let isPaused = false;
	const delay: DelaySetting = {delayMs: 0};
	const server = createServer({allowHalfOpen: true, noDelay: true}, downstream => {
		if (mode === RelayMode.refusing) {
			reset(downstream);
			return;
		}

		const isSilent = mode === RelayMode.dropping;
		const connection: RelayedConnection = {
			downstream, upstream: isSilent ? undefined : createConnection({...targetAddress, allowHalfOpen: true, noDelay: true}), isSilent, answersAreSilent: false,
		};
		connections.add(connection);
		connectEnds(connection, delay, () => connections.delete(connection));
		if (isPaused) {
			pauseSockets(connection);
		}
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', resolve);
	});
	const resetOpenConnections = (): void => {
		for (const {downstream, upstream} of connections) {
			reset(downstream);
			if (upstream !== undefined) {
				reset(upstream);
			}
		}
	};

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		connectionCount: () => [...connections].filter(({downstream}) => !downstream.destroyed).length,
		setMode(next) {
			mode = next;
		},
		silenceOpenConnections() {
			for (const connection of connections) {
				connection.isSilent = true;
			}
		},
		silenceAnswers() {
			for (const connection of connections) {
				connection.answersAreSilent = true;
			}
		},
		resetOpenConnections,
		setDelay(delayMs) {
			delay.delayMs = delayMs;
		},
		setPaused(next) {
			isPaused = next;
			for (const connection of connections) {
				if (isPaused) {
					pauseSockets(connection);
				} else {
					connection.downstream.resume();
					connection.upstream?.resume();
				}
			}
		},
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				resetOpenConnections();
			});
		},
	};
}

/** Resets a socket, or destroys it if `end` was already called on it: after a reset its handle would stay open, and a worker thread with such a handle never ends. */
function reset(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

function pauseSockets({downstream, upstream}: RelayedConnection): void {
	downstream.pause();
	upstream?.pause();
}

function connectEnds(connection: RelayedConnection, delay: DelaySetting, onClosed: () => void): void {
	const {downstream, upstream} = connection;
	const closeIfDone = (): void => {
		if (downstream.destroyed && (upstream === undefined || upstream.destroyed)) {
			onClosed();
		}
	};

	forward({
		connection, delay, from: downstream, to: upstream,
	}, closeIfDone);
	if (upstream !== undefined) {
		forward({
			connection, delay, from: upstream, to: downstream,
		}, closeIfDone);
	}
}

/** Forwards bytes, end and reset of one socket to the other, unless the connection is silent. */
function forward({connection, delay, from, to}: {
	readonly connection: RelayedConnection;
	readonly delay: DelaySetting;
	readonly from: Socket;
	readonly to: Socket | undefined;
}, onClose: () => void): void {
	let hasFailed = false;
	const delayedActions: Array<{readonly atMs: number; readonly action: () => void}> = [];
	const isSilent = (): boolean => connection.isSilent || (from === connection.upstream && connection.answersAreSilent);
	const runDue = (): void => {
		const nowMs = performance.now();
		while (delayedActions.length > 0 && delayedActions[0].atMs <= nowMs) {
			delayedActions.shift()!.action();
		}

		if (delayedActions.length > 0) {
			setTimeout(runDue, delayedActions[0].atMs - nowMs);
		}
	};

	/** Runs an action after the delay and after the ones before it. */
	const enqueue = (action: () => void): void => {
		if (delayedActions.length === 0 && delay.delayMs === 0) {
			action();
			return;
		}

		delayedActions.push({atMs: performance.now() + delay.delayMs, action});
		if (delayedActions.length === 1) {
			setTimeout(runDue, delay.delayMs);
		}
	};

	from.on('data', chunk => {
		enqueue(() => {
			if (!isSilent() && to !== undefined && !to.destroyed && !to.write(chunk)) {
				from.pause();
				to.once('drain', () => {
					from.resume();
				});
			}
		});
	});
	from.on('end', () => {
		if (isSilent()) {
			// Only the socket that ended is closed; the other one is not notified.
			from.destroy();
		} else {
			enqueue(() => {
				to?.end();
			});
		}
	});
	from.on('error', () => {
		hasFailed = true;
	});
	from.on('close', () => {
		if (!isSilent() && to !== undefined && !to.destroyed) {
			if (hasFailed) {
				reset(to);
			} else {
				enqueue(() => {
					to.destroySoon();
				});
			}
		}

		onClose();
	});
}
