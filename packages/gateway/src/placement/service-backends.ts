import {rendezvousOrder} from '@fescuewick/core';
import {type Backend} from './backend.js';

/** Capacity of the cache of rendezvous orders; the oldest half is evicted when it is full. */
const maxCachedOrders = 4096;

/** The servers of one service. */
class ServerList {
	readonly all: Backend[] = [];
	readonly byRegion = new Map<string, Backend[]>();
}

/** Lists of the servers by service and region, and the order in which each object uses the servers of its service; kept between requests and replaced when servers come or go. */
export class ServiceBackends {
	readonly #lists = new Map<string, ServerList>();
	readonly #cachedOrders = new Map<string, readonly Backend[]>();

	get services(): Iterable<string> {
		return this.#lists.keys();
	}

	/** Replaces all servers. */
	replace(backends: Iterable<Backend>): void {
		this.#lists.clear();
		this.#cachedOrders.clear();
		for (const backend of backends) {
			let list = this.#lists.get(backend.record.service);
			if (list === undefined) {
				list = new ServerList();
				this.#lists.set(backend.record.service, list);
			}

			list.all.push(backend);
			const inRegion = list.byRegion.get(backend.region);
			if (inRegion === undefined) {
				list.byRegion.set(backend.region, [backend]);
			} else {
				inRegion.push(backend);
			}
		}
	}

	of(service: string): readonly Backend[] {
		return this.#lists.get(service)?.all ?? [];
	}

	inRegion(service: string, region: string): readonly Backend[] {
		return this.#lists.get(service)?.byRegion.get(region) ?? [];
	}

	/** All servers of a service in the rendezvous order of an object. */
	orderOf(service: string, affinityKey: string): readonly Backend[] {
		const key = `${service}\u0000${affinityKey}`;
		let order = this.#cachedOrders.get(key);
		if (order === undefined) {
			if (this.#cachedOrders.size >= maxCachedOrders) {
				for (const old of [...this.#cachedOrders.keys()].slice(0, maxCachedOrders / 2)) {
					this.#cachedOrders.delete(old);
				}
			}

			const byId = new Map(this.of(service).map(backend => [backend.id, backend]));
			order = rendezvousOrder(affinityKey, byId.keys()).map(id => byId.get(id)!);
			this.#cachedOrders.set(key, order);
		}

		return order;
	}
}
