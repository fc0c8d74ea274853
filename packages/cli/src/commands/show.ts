import {ResultCode} from '@fescuewick/core';
import {
	diffDocuments, formatChange, formatConfiguration, readConfigurationFile,
} from '@fescuewick/config';
import {successResult, type CommandContext, type CommandResult} from '../context.js';
import {loadCurrent} from './edit-configuration.js';

/** Shows the configuration in force in the format of a configuration file, for editing and applying. */
export async function show(context: CommandContext): Promise<CommandResult> {
	const current = await loadCurrent(context);
	if (current === undefined) {
		return {
			code: ResultCode.objectUnknown, json: {revision: 0}, text: '', message: 'there is no configuration yet; apply a file first',
		};
	}

	const {head, document} = current;
	return successResult({revision: head.revision, document}, formatConfiguration(document, head.revision).trimEnd());
}

/** Shows what applying a file would change. */
export async function diffFile(context: CommandContext, file: string): Promise<CommandResult> {
	const {document} = readConfigurationFile(file);
	const current = await loadCurrent(context);
	const changes = diffDocuments(current?.document, document);
	const revision = current?.head.revision ?? 0;
	return successResult({revision, changes}, changes.length === 0 ? `no difference from revision ${revision}` : changes.map(change => formatChange(change)).join('\n'));
}
