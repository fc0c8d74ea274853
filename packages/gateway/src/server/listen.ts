import {type Socket} from 'node:dgram';
import {once} from 'node:events';
import {type Server} from 'node:http';
import {type Logger, type TimerService} from '@fescuewick/core';
import {splitAddress} from '@fescuewick/wire';

/** Pause between two tries to bind a port that is taken, in milliseconds. */
const retryIntervalMs = 250;
/** Longest time for which a start waits for a port that is taken, in milliseconds; a predecessor is killed at the end of its grace time at the latest. */
const maxWaitMs = 30_000;

type ListenDependencies = {readonly timers: TimerService; readonly logger: Logger};

/** Starts listening at `ip:port`; resolves when the server listens. A port that is taken, as by a predecessor that has not ended, is tried again for a while; then the error of the last try is thrown. */
export async function listenAt(server: Server | Socket, address: string, {timers, logger}: ListenDependencies): Promise<void> {
	const startedAtMs = timers.nowMs();
	for (let isFirst = true; ; isFirst = false) {
		try {
			await bind(server, address);
			return;
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE' || timers.nowMs() - startedAtMs >= maxWaitMs) {
				throw error;
			}

			if (isFirst) {
				logger.warn({event: 'port-taken', address, maxWaitMs}, 'a port is taken by another process; trying again');
			}

			await timers.sleep(retryIntervalMs);
		}
	}
}

async function bind(server: Server | Socket, address: string): Promise<void> {
	const {host, port} = splitAddress(address);
	const listening = once(server, 'listening');
	if ('listen' in server) {
		server.listen(port, host);
	} else {
		server.bind(port, host);
	}

	await listening;
}
