import {type Cancel, type Metrics, type TimerService} from '@fescuewick/core';
import {type BorrowOutcome, TokenBorrower} from '../limits/token-borrower.js';
import {measureIntervalMs, WorkspaceLimiter} from '../limits/workspace-limiter.js';
import {type VmRecord} from '../model/records.js';
import {type GatewaySettings} from '../settings.js';
import {type Gossip} from './gossip.js';
import {type PeerTable} from './peer-table.js';
import {decodePoolMessage, PoolMessageKind, type PoolMessage} from './pool-message.js';

/** Dependencies of the exchange. */
export type RatePoolExchangeOptions = {
	readonly gossip: Gossip;
	readonly table: PeerTable;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly incarnation: number;
	/** Whether this VM may own pools. */
	readonly isReady: () => boolean;
	readonly bounds: () => GatewaySettings['bounds'];
};

/** Limiter of workspaces' rates, and the messages about their pools: token requests inside the failure domain, and reports between the owners of pools. */
export class RatePoolExchange {
	readonly limiter: WorkspaceLimiter;
	readonly borrower: TokenBorrower;
	/** Records of the live peers by name. */
	#records = new Map<string, VmRecord>();
	readonly #unreadable;

	constructor(private readonly options: RatePoolExchangeOptions) {
		const {table, timers, metrics, bounds} = options;
		this.limiter = new WorkspaceLimiter(table.self.vm, timers, () => {
			const {rateOvershoot, rateSlack, rateWindowMs} = bounds();
			return {overshoot: rateOvershoot, slackCount: rateSlack, windowMs: rateWindowMs};
		});
		const requests = metrics.counter('fescuewick_pool_token_requests_total', 'Requests for a token of a workspace\'s pool by result', ['result'] as const);
		this.#unreadable = metrics.counter('fescuewick_pool_messages_unreadable_total', 'Messages about pools that could not be read');
		this.borrower = new TokenBorrower({
			limiter: this.limiter,
			timers,
			send: (owner, workspace, id) => {
				this.#send(owner, {
					kind: PoolMessageKind.tokenRequest, vm: table.self.vm, workspace, id,
				});
			},
			onEnd(outcome: BorrowOutcome) {
				requests.inc({result: outcome});
			},
		});
	}

	/** Starts the regular updates. */
	start(): Cancel {
		return this.options.timers.repeat(measureIntervalMs, () => {
			this.update();
		});
	}

	/** Advances the limiter with the present VMs, and reports grants that cannot wait for a heartbeat. */
	update(): void {
		const {limiter} = this;
		const {table, isReady, incarnation} = this.options;
		const {vm, failureDomain} = table.self;
		const alive = [vm];
		const ready = isReady() ? [vm] : [];
		const readyElsewhere = new Map<string, string[]>();
		this.#records = new Map();
		for (const heartbeat of table.alive()) {
			const {record} = heartbeat;
			this.#records.set(record.vm, record);
			if (record.failureDomain === failureDomain) {
				alive.push(record.vm);
			}

			if (heartbeat.isReady) {
				const owners = record.failureDomain === failureDomain ? ready : readyElsewhere.get(record.failureDomain) ?? [];
				owners.push(record.vm);
				if (owners !== ready) {
					readyElsewhere.set(record.failureDomain, owners);
				}
			}
		}

		limiter.update(new Set(table.limitSharers().map(sharer => sharer.vm)), {alive, ready, readyElsewhere: [...readyElsewhere.values()]});
		for (const {workspace, passed, owners} of limiter.startGrantReports()) {
			for (const owner of owners) {
				this.#send(owner, {
					kind: PoolMessageKind.grantReport, vm, workspace, incarnation, passed,
				});
			}
		}
	}

	/** Handles the content of a received datagram. */
	receive(content: Uint8Array): void {
		const {limiter} = this;
		const {vm} = this.options.table.self;
		const message = decodePoolMessage(content);
		if (message === undefined) {
			this.#unreadable.inc();
			return;
		}

		switch (message.kind) {
			case PoolMessageKind.tokenRequest: {
				// A VM that this one does not hear is not a member of the pool.
				if (limiter.pools.others.includes(message.vm)) {
					this.#send(message.vm, {
						kind: PoolMessageKind.tokenReply, vm, id: message.id, isGranted: limiter.grant(message.workspace),
					});
				}

				break;
			}

			case PoolMessageKind.tokenReply: {
				this.borrower.onReply(message.vm, message.id, message.isGranted);
				break;
			}

			case PoolMessageKind.grantReport: {
				if (limiter.applyGrantReport(message.vm, message.incarnation, message.workspace, message.passed)) {
					this.#send(message.vm, {
						kind: PoolMessageKind.grantConfirmation, vm, workspace: message.workspace, passed: message.passed,
					});
				}

				break;
			}

			case PoolMessageKind.grantConfirmation: {
				limiter.confirmGrantReport(message.vm, message.workspace, message.passed);
				break;
			}
		}
	}

	#send(vm: string, message: PoolMessage): void {
		const recipient = this.#records.get(vm);
		if (recipient !== undefined) {
			this.options.gossip.sendPoolMessage(message, recipient);
		}
	}
}
