package org.lycheeroad.entry.settings;

import java.util.List;

/** Thrown if settings are invalid; reports all problems at once. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> mProblems;

    SettingsException(List<String> problems) {
        super(String.join("; ", problems));
        mProblems = List.copyOf(problems);
    }

    /** Returns one line for each problem, starting with the name of the setting. */
    public List<String> problems() {
        return mProblems;
    }
}
