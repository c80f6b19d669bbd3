package org.lycheeroad.state.id;

/** Validates the text of identifiers. */
final class Ids {
    private static final int MAX_LENGTH = 128;

    private Ids() {}

    /**
     * Rejects values that are empty, too long or contain characters that are unsafe in URL paths.
     *
     * @throws IllegalArgumentException if the value is not a valid id
     */
    static void requireValid(String value) {
        if (value == null || value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "an id must have 1 to " + MAX_LENGTH + " characters");
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                throw new IllegalArgumentException(
                        "an id must consist of letters, digits, '.', '_', ':' and '-': " + value);
            }
        }
    }

    private static boolean isAllowed(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || c == '.'
                || c == '_'
                || c == ':'
                || c == '-';
    }
}
