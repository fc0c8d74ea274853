import {performance} from 'node:perf_hooks';
import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** What a relay does with new connections. */
export enum RelayMode {
	/** Passes bytes on in both directions. */
	open = 'open',
	/** Accepts connections and drops their bytes for good, as behind a partition. */
	dropping = 'dropping',
	/** Closes new connections at once, as when nothing listens at the target. */
	refusing = 'refusing',
}

/** A TCP relay on loopback between the two ends of a path, which can lose the state of open connections. */
export type TcpRelay = {
	/** `ip:port` to connect to in place of the target. */
	readonly address: string;
	/** Connections accepted and not closed by their opener. */
	connectionCount(): number;
	setMode(mode: RelayMode): void;
	/** Drops all further bytes of the connections that are open now, for good and without closing them; new ones are not affected. */
	silenceOpenConnections(): void;
	/** Drops what the target sends on the connections that are open now, while what it gets still passes. */
	silenceAnswers(): void;
	/** Resets the connections that are open now, at both ends. */
	resetOpenConnections(): void;
	/** Passes bytes on after this time, in milliseconds, in order. */
	setDelay(delayMs: number): void;
	/** Holds the bytes of all connections back until it is called with false, as when the process at one end is paused. */
	setHeld(isHeld: boolean): void;
	close(): Promise<void>;
};

/** Two sockets of a relayed connection; `outer` is undefined while nothing is passed on. */
type Pair = {readonly inner: Socket; readonly outer: Socket | undefined; isSilent: boolean; answersAreSilent: boolean};

/** When bytes are passed on. */
type Pace = {delayMs: number};

/** Starts a relay to `target` (`ip:port`) on a free loopback port. */
export async function startTcpRelay(target: string): Promise<TcpRelay> {
	const separator = target.lastIndexOf(':');
	const targetAddress = {host: target.slice(0, separator), port: Number(target.slice(separator + 1))};
	const pairs = new Set<Pair>();
	let mode = RelayMode.open;
	let isHeld = false;
	const pace: Pace = {delayMs: 0};
	const server = createServer({allowHalfOpen: true, noDelay: true}, inner => {
		if (mode === RelayMode.refusing) {
			reset(inner);
			return;
		}

		const isSilent = mode === RelayMode.dropping;
		const pair: Pair = {
			inner, outer: isSilent ? undefined : createConnection({...targetAddress, allowHalfOpen: true, noDelay: true}), isSilent, answersAreSilent: false,
		};
		pairs.add(pair);
		connectEnds(pair, pace, () => pairs.delete(pair));
		if (isHeld) {
			hold(pair);
		}
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', resolve);
	});
	const resetOpenConnections = (): void => {
		for (const {inner, outer} of pairs) {
			reset(inner);
			if (outer !== undefined) {
				reset(outer);
			}
		}
	};

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		connectionCount: () => [...pairs].filter(({inner}) => !inner.destroyed).length,
		setMode(next) {
			mode = next;
		},
		silenceOpenConnections() {
			for (const pair of pairs) {
				pair.isSilent = true;
			}
		},
		silenceAnswers() {
			for (const pair of pairs) {
				pair.answersAreSilent = true;
			}
		},
		resetOpenConnections,
		setDelay(delayMs) {
			pace.delayMs = delayMs;
		},
		setHeld(next) {
			isHeld = next;
			for (const pair of pairs) {
				if (isHeld) {
					hold(pair);
				} else {
					pair.inner.resume();
					pair.outer?.resume();
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

/** Resets a socket. One whose end was already sent cannot be reset any more: its handle would stay open, and a worker thread that has such handles never ends. */
function reset(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

function hold({inner, outer}: Pair): void {
	inner.pause();
	outer?.pause();
}

function connectEnds(pair: Pair, pace: Pace, onClosed: () => void): void {
	const {inner, outer} = pair;
	const closeIfDone = (): void => {
		if (inner.destroyed && (outer === undefined || outer.destroyed)) {
			onClosed();
		}
	};

	passOn({
		pair, pace, from: inner, to: outer,
	}, closeIfDone);
	if (outer !== undefined) {
		passOn({
			pair, pace, from: outer, to: inner,
		}, closeIfDone);
	}
}

/** Passes bytes, end and reset of one end on to the other, unless the connection is silent. */
function passOn({pair, pace, from, to}: {readonly pair: Pair; readonly pace: Pace; readonly from: Socket; readonly to: Socket | undefined}, onClose: () => void): void {
	let hasFailed = false;
	const late: Array<{readonly atMs: number; readonly action: () => void}> = [];
	const isSilent = (): boolean => pair.isSilent || (from === pair.outer && pair.answersAreSilent);
	const runDue = (): void => {
		const nowMs = performance.now();
		while (late.length > 0 && late[0].atMs <= nowMs) {
			late.shift()!.action();
		}

		if (late.length > 0) {
			setTimeout(runDue, late[0].atMs - nowMs);
		}
	};

	/** Runs an action after the delay and after the ones before it. */
	const inOrder = (action: () => void): void => {
		if (late.length === 0 && pace.delayMs === 0) {
			action();
			return;
		}

		late.push({atMs: performance.now() + pace.delayMs, action});
		if (late.length === 1) {
			setTimeout(runDue, pace.delayMs);
		}
	};

	from.on('data', chunk => {
		inOrder(() => {
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
			// The end that closed is gone; the other one never hears of it.
			from.destroy();
		} else {
			inOrder(() => {
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
				inOrder(() => {
					to.destroySoon();
				});
			}
		}

		onClose();
	});
}
