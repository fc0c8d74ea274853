import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** One operating-system process of a fleet under test; it can be paused, killed and restarted. Used by tests only, as daemons must not start processes. */
export class ManagedProcess {
	readonly #arguments: readonly string[];
	#child: ChildProcess | undefined;

	/** Prepares to run the built `main.js` of a package, for example `control`. */
	constructor(readonly name: string, packageName: string, programArguments: readonly string[]) {
		this.#arguments = [fileURLToPath(new URL(`../../../${packageName}/dist/main.js`, import.meta.url)), ...programArguments];
	}

	/** Process id; throws before the first start. */
	get pid(): number {
		if (this.#child?.pid === undefined) {
			throw new Error(`process ${this.name} has not been started`);
		}

		return this.#child.pid;
	}

	/** Starts the process; a previously started one must have exited. */
	start(): void {
		this.#child = spawn(process.execPath, this.#arguments, {stdio: 'ignore'});
	}

	/** Sends a signal to this process only, not to its children. */
	signal(signal: NodeJS.Signals): void {
		this.#child?.kill(signal);
	}

	/** Resolves with the exit code, or with undefined if a signal terminated the process. */
	async exitCode(): Promise<number | undefined> {
		const child = this.#child;
		if (child?.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}

		return child?.exitCode ?? undefined;
	}

	/** Terminates the process without cleanup, as a crash does; also works while it is paused. */
	async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this.exitCode();
	}

	/** Ids of the running child processes. */
	childPids(): string[] {
		const tasks = `/proc/${this.pid}/task`;
		return readdirSync(tasks).flatMap(task => readFileSync(`${tasks}/${task}/children`, 'utf8').split(' ').filter(Boolean));
	}
}
