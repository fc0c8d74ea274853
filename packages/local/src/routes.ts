import {TcpTransport, type Transport, type VmRecord} from '@fescuewick/wire';

/** Daemons of a VM. */
export enum DaemonKind {
	control = 'control',
	entry = 'entry',
	lookup = 'lookup',
}

/** Addresses and transports that the daemons of a VM use to reach other processes. */
export type VmRoutes = {
	readonly storeUrl: string;
	/** Transport from the control daemon to its peers. */
	readonly transport: Transport;
	/** Address at which the VM's entry daemon connects to the control daemon. */
	readonly controlAddressForEntry: string;
	/** Address at which the VM's look-up daemon connects to the control daemon. */
	readonly controlAddressForLookup: string;
};

/** Network routes between the processes of a deployment; tests use them to put relays in between. */
export abstract class Routes {
	/** Sets up the routes of a VM; called before its daemons start. */
	abstract addVm(vm: VmRecord, localAddress: string, storeUrl: string): Promise<VmRoutes>;
	/** Called before a daemon is killed; breaks its connections so that it cannot send a goodbye message. */
	abstract beforeKill(vm: VmRecord, daemon: DaemonKind): void;
	/** Called after a daemon was killed; lets the restarted daemon connect again. */
	abstract afterKill(vm: VmRecord, daemon: DaemonKind): void;
	abstract close(): Promise<void>;
}

/** Connects processes directly, without relays; a killed daemon still closes its connections gracefully. */
export class DirectRoutes extends Routes {
	readonly #transport = new TcpTransport();

	async addVm(_vm: VmRecord, localAddress: string, storeUrl: string): Promise<VmRoutes> {
		return {
			storeUrl, transport: this.#transport, controlAddressForEntry: localAddress, controlAddressForLookup: localAddress,
		};
	}

	beforeKill(): void {/* There is no relay to close. */}

	afterKill(): void {/* There is no relay to open. */}

	async close(): Promise<void> {/* There is no relay to close. */}
}
