import {type RouteLatency} from '../forward/route-latency.js';
import {type PeerTable} from '../peers/peer-table.js';
import {type ShiftedFractions} from './region-plan.js';
import {RegionalDemand, type SlotDemand, type SlotDemandMeter} from './slot-demand-meter.js';

/** Assumed duration of requests before the first measurement, in milliseconds. */
export const initialDurationMs = 400;

type FleetDemandOptions = {
	readonly peers: PeerTable;
	readonly meter: SlotDemandMeter;
	readonly latency: RouteLatency;
};

/** Demand of callers and how it is shifted between regions, as this VM measures it and hears it from its peers. */
export class FleetDemand {
	constructor(private readonly options: FleetDemandOptions) {}

	/** Demand of the callers of this VM, in slots. */
	own(): SlotDemand {
		const {meter, latency} = this.options;
		return meter.slots(service => latency.typicalMs(service, initialDurationMs));
	}

	/** Demand of the callers of all VMs, by region. */
	byRegion(): RegionalDemand {
		const {peers} = this.options;
		const demand = new RegionalDemand();
		demand.add(peers.self.region, this.own());
		for (const {record, slotDemand} of peers.alive()) {
			demand.add(record.region, slotDemand);
		}

		return demand;
	}

	/** Fractions that another VM of this region shifts to other regions; a VM that has just started adopts them. */
	shiftedFractionsOfRegion(): ShiftedFractions | undefined {
		const {peers} = this.options;
		for (const {record, shiftedFractions} of peers.alive()) {
			if (record.region === peers.self.region && Object.keys(shiftedFractions).length > 0) {
				return shiftedFractions;
			}
		}

		return undefined;
	}
}
