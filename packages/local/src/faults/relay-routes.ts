import {RelayMode, startTcpRelay, type TcpRelay} from '@fescuewick/emulator';
import {
	TcpTransport, Transport, type Link, type LinkOptions, type Listener, type VmRecord,
} from '@fescuewick/wire';
import {DaemonKind, Routes, type VmRoutes} from '../routes.js';

/** A network path between two processes and the relay on it; a daemon as `to` stands for the path between it and the control daemon of the VM `from`. */
type RelayedPath = {readonly from: VmRecord; readonly to: VmRecord | 'store' | DaemonKind; readonly relay: TcpRelay};

/** Selects the paths that a fault affects; `to` is undefined for a path to the store. */
export type PathFilter = (path: {readonly from: VmRecord; readonly to: VmRecord | undefined; readonly isStore: boolean}) => boolean;

/** Puts a relay on every path between VMs, from each VM to the store, and between the daemons of a VM. */
export class RelayRoutes extends Routes {
	readonly #paths: RelayedPath[] = [];
	readonly #vms: VmRecord[] = [];
	#cutFilter: PathFilter = () => false;

	async addVm(vm: VmRecord, localAddress: string, storeUrl: string): Promise<VmRoutes> {
		const others = this.#vms.filter(other => other.vm !== vm.vm);
		this.#vms.push(vm);
		const store = await this.#addPath(vm, 'store', storeUrl.slice('http://'.length));
		const entry = await this.#addPath(vm, DaemonKind.entry, localAddress);
		const lookup = await this.#addPath(vm, DaemonKind.lookup, localAddress);
		await Promise.all(others.flatMap(other => [this.#addPath(vm, other, other.controlAddress), this.#addPath(other, vm, vm.controlAddress)]));
		return {
			storeUrl: `http://${store.address}`, transport: new RelayTransport(address => this.#relayAddress(vm, address)), controlAddressForEntry: entry.address, controlAddressForLookup: lookup.address,
		};
	}

	beforeKill(vm: VmRecord, daemon: DaemonKind): void {
		for (const {relay} of this.#pathsOf(vm, daemon)) {
			relay.setMode(RelayMode.refusing);
			relay.resetOpenConnections();
		}
	}

	afterKill(vm: VmRecord, daemon: DaemonKind): void {
		for (const {relay} of this.#pathsOf(vm, daemon)) {
			relay.setMode(RelayMode.open);
		}
	}

	/** Cuts the paths: open connections go silent permanently, and new ones, including those of VMs that join later, get no answer. */
	cut(filter: PathFilter): void {
		this.#cutFilter = filter;
		for (const {relay} of this.#selectPaths(filter)) {
			relay.setMode(RelayMode.dropping);
			relay.silenceOpenConnections();
		}
	}

	/** Ends the cut; connections opened before or during it stay silent. */
	heal(): void {
		this.#cutFilter = () => false;
		for (const {relay} of this.#paths) {
			relay.setMode(RelayMode.open);
		}
	}

	/** Silences the open connections of the paths permanently; new connections work. */
	silence(filter: PathFilter): void {
		for (const {relay} of this.#selectPaths(filter)) {
			relay.silenceOpenConnections();
		}
	}

	/** Silences the open connections between the daemons of a VM permanently; new connections work. */
	silenceLocalLinks(vm: VmRecord): void {
		for (const {from, to, relay} of this.#paths) {
			if (from === vm && (to === DaemonKind.entry || to === DaemonKind.lookup)) {
				relay.silenceOpenConnections();
			}
		}
	}

	/** Holds back all bytes from and to a VM, or passes them on again. */
	setHeld(vm: VmRecord, isHeld: boolean): void {
		for (const {from, to, relay} of this.#paths) {
			if (from === vm || to === vm) {
				relay.setPaused(isHeld);
			}
		}
	}

	async close(): Promise<void> {
		await Promise.all(this.#paths.map(async ({relay}) => relay.close()));
	}

	async #addPath(from: VmRecord, to: RelayedPath['to'], target: string): Promise<TcpRelay> {
		const relay = await startTcpRelay(target);
		this.#paths.push({from, to, relay});
		if (this.#selectPaths(this.#cutFilter).some(path => path.relay === relay)) {
			relay.setMode(RelayMode.dropping);
		}

		return relay;
	}

	#relayAddress(from: VmRecord, address: string): string {
		return this.#paths.find(path => path.from === from && typeof path.to === 'object' && path.to.controlAddress === address)?.relay.address ?? address;
	}

	#selectPaths(filter: PathFilter): RelayedPath[] {
		return this.#paths.filter(({from, to}) => (typeof to === 'object' || to === 'store')
			&& filter({from, to: typeof to === 'object' ? to : undefined, isStore: to === 'store'}));
	}

	#pathsOf(vm: VmRecord, daemon: DaemonKind): RelayedPath[] {
		return this.#paths.filter(({from, to}) => {
			const isLocalLink = from === vm && (to === DaemonKind.entry || to === DaemonKind.lookup);
			return daemon === DaemonKind.control ? (from === vm || to === vm) : (isLocalLink && to === daemon);
		});
	}
}

/** Connects to addresses through the relays on their paths. */
class RelayTransport extends Transport {
	readonly #transport = new TcpTransport();

	constructor(readonly relayAddressOf: (address: string) => string) {
		super();
	}

	connect(address: string, options: LinkOptions): Link {
		return this.#transport.connect(this.relayAddressOf(address), options);
	}

	async listen(address: string, options: () => LinkOptions): Promise<Listener> {
		return this.#transport.listen(address, options);
	}
}
