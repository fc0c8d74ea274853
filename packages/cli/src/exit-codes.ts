import {ResultCode} from '@fescuewick/core';

/** A class of result codes that share an exit code, so that scripts can distinguish it from the other classes. */
export type ExitClass = {readonly exitCode: number; readonly name: string; readonly meaning: string; readonly codes: readonly ResultCode[]};

/** Exit codes of the client; each numbered result code belongs to at most one class. */
export const exitClasses: readonly ExitClass[] = [
	{
		exitCode: 0, name: 'success', meaning: 'The command succeeded.', codes: [ResultCode.ok],
	},
	{
		exitCode: 2, name: 'usage', meaning: 'The command line or the settings file is not valid; nothing was changed.', codes: [ResultCode.usage, ResultCode.settingsInvalid],
	},
	{
		exitCode: 3, name: 'invalid', meaning: 'The configuration is not valid or cannot be read; nothing was changed.', codes: [ResultCode.configurationInvalid, ResultCode.configurationUnreadable],
	},
	{
		exitCode: 4,
		name: 'conflict',
		meaning: 'Another change was accepted first; this one was rejected and will not be accepted later.',
		codes: [ResultCode.configurationConflict, ResultCode.storeConflict],
	},
	{
		exitCode: 5, name: 'not-found', meaning: 'The named object does not exist; nothing was changed.', codes: [ResultCode.objectUnknown, ResultCode.storeNotFound],
	},
	{
		exitCode: 6,
		name: 'store',
		meaning: 'The store cannot be used; no change was accepted. Repeat the command later.',
		codes: [ResultCode.storeUnavailable, ResultCode.storeTimeout, ResultCode.storeValueTooLarge, ResultCode.storeMalformed],
	},
	{
		exitCode: 7, name: 'unknown', meaning: 'The change may have been accepted; check with `watch` or `show` before repeating the command.', codes: [ResultCode.storeOutcomeUnknown],
	},
	{
		exitCode: 8, name: 'not-confirmed', meaning: 'The change is accepted, but not every VM has confirmed it yet.', codes: [ResultCode.notConfirmed],
	},
	{
		exitCode: 9, name: 'unreachable', meaning: 'None of the admin endpoints that the command needs can be reached.', codes: [ResultCode.endpointUnreachable],
	},
];

/** Exit code for result codes that belong to no class, such as internal errors. */
export const otherExitCode = 1;

/** Maps a result code to its exit code. */
export function exitCodeOf(code: ResultCode): number {
	return exitClasses.find(entry => entry.codes.includes(code))?.exitCode ?? otherExitCode;
}
