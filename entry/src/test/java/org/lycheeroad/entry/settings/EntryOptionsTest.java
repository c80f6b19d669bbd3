package org.lycheeroad.entry.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lycheeroad.state.topology.EntryInfo;
import org.lycheeroad.state.topology.HostPort;

class EntryOptionsTest {
    private static final List<String> REQUIRED_FLAGS =
            List.of(
                    "--entry-id=e1",
                    "--region=mazowsze",
                    "--failure-domain=warszawa-a",
                    "--peer-listen=127.0.0.1:7001",
                    "--store=127.0.0.1:2379",
                    "--vm-list=127.0.0.1:2400");

    @Nested
    class Accepts {
        /** Guards against settings that are lost if they are set only by environment variables. */
        @Test
        void environmentVariablesForMissingFlags() throws Exception {
            EntrySettings settings =
                    EntryOptions.parse(
                            REQUIRED_FLAGS.subList(0, 5),
                            Map.of(
                                    "LYCHEEROAD_VM_LIST", "10.0.0.9:80",
                                    "LYCHEEROAD_REGION", "elsewhere",
                                    "LYCHEEROAD_PEERS", "e2/mazowsze/warszawa-b/10.0.0.2:7001"));
            assertThat(settings.vmListAddress()).isEqualTo(new HostPort("10.0.0.9", 80));
            assertThat(settings.region().value())
                    .as("the flag takes precedence")
                    .isEqualTo("mazowsze");
            assertThat(settings.peers()).hasSize(1);
        }
    }

    /** Guards against flags that the help omits or labels with the name of a Java field. */
    @Test
    void helpNamesTheFlags() {
        assertThat(EntryOptions.help())
                .contains("lycheeroad-entry", "--entry-id", "--peers", "--drain-bound-ms")
                .doesNotContainPattern("<m[A-Z]");
    }

    @Nested
    class SampleDeployments {
        /** Guards against sample settings that an entry rejects at startup. */
        @ParameterizedTest
        @ValueSource(strings = {"festival-rimouski-1", "wentylator-warszawa-a-1"})
        void areAccepted(String name) throws Exception {
            EntrySettings settings = EntryOptions.parse(List.of(), readEnvironmentFile(name));
            assertThat(settings.peers()).hasSize(settings.entryCount() - 1);
            assertThat(settings.peers()).extracting(EntryInfo::id).doesNotHaveDuplicates();
            assertThat(settings.peers()).doesNotContain(settings.localEntry());
        }

        /** Guards against sample files that the test above does not cover. */
        @Test
        void areAllCovered() throws Exception {
            try (Stream<Path> files = Files.list(deploymentsDirectory())) {
                assertThat(files.map(f -> f.getFileName().toString()))
                        .containsExactlyInAnyOrder(
                                "festival-rimouski-1.env", "wentylator-warszawa-a-1.env");
            }
        }

        private static Map<String, String> readEnvironmentFile(String name) throws Exception {
            return Files.readAllLines(deploymentsDirectory().resolve(name + ".env")).stream()
                    .filter(line -> !line.isBlank() && !line.startsWith("#"))
                    .map(line -> line.split("=", 2))
                    .collect(Collectors.toMap(parts -> parts[0], parts -> parts[1]));
        }

        private static Path deploymentsDirectory() {
            Path directory = Path.of("..", "docs", "deployments");
            return Files.exists(directory) ? directory : Path.of("docs", "deployments");
        }
    }

    @Nested
    class Rejects {
        /**
         * Guards against a misspelled variable that is ignored, which leaves the default in place.
         */
        @Test
        void unknownVariables() {
            Map<String, String> environment =
                    Map.of(
                            "LYCHEEROAD_ENTRYS", "7",
                            "LYCHEEROAD_JAVA_OPTS", "-Xlog:gc",
                            "LYCHEEROAD_ENTRY", "10.0.0.1:7000",
                            "LYCHEEROAD_OPS", "127.0.0.1:7002",
                            "HOME", "/");
            SettingsException e =
                    catchThrowableOfType(
                            SettingsException.class,
                            () -> EntryOptions.parse(REQUIRED_FLAGS, environment));
            assertThat(e.problems()).containsExactly("LYCHEEROAD_ENTRYS: no such setting");
        }

        /** Guards against reporting one problem per start, which costs a restart for each. */
        @Test
        void allInvalidSettingsAtOnceByName() {
            SettingsException e =
                    catchThrowableOfType(
                            SettingsException.class,
                            () ->
                                    EntryOptions.parse(
                                            List.of("--listen=nowhere", "--entries=0", "--bogus"),
                                            Map.of("LYCHEEROAD_OPS_TOKEN", "short")));
            assertThat(String.join("\n", e.problems()))
                    .contains("--entry-id (LYCHEEROAD_ENTRY_ID): is missing")
                    .contains("--region (LYCHEEROAD_REGION)")
                    .contains("--listen (LYCHEEROAD_LISTEN): must have the form HOST:PORT")
                    .contains("--entries (LYCHEEROAD_ENTRIES): must be between 1 and 64")
                    .contains("--ops-token (LYCHEEROAD_OPS_TOKEN)")
                    .contains("--bogus");
        }

        /** Guards against an operators' API that is reachable from the network without a token. */
        @Test
        void nonLoopbackOperatorAddressWithoutToken() {
            List<String> arguments = new java.util.ArrayList<>(REQUIRED_FLAGS);
            arguments.add("--ops-listen=0.0.0.0:7002");
            SettingsException e =
                    catchThrowableOfType(
                            SettingsException.class, () -> EntryOptions.parse(arguments, Map.of()));
            assertThat(e.problems()).singleElement().asString().startsWith("--ops-listen");
        }
    }
}
