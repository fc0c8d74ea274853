/** The slots and connections of each backend server that are granted to this VM. */
export abstract class SlotGrants {
	/** Granted slots; 0 without a valid grant. */
	abstract slots(server: string): number;
	/** Granted connections; 0 without a valid grant. */
	abstract connections(server: string): number;
}
