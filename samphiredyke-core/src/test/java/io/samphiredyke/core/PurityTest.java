package io.samphiredyke.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that the core module uses no network, files, threads or system clocks. */
class PurityTest {

  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("io.samphiredyke.core");

  @Test
  void coreUsesNoNetworkFilesOrThreads() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("io.netty..", "java.net..", "java.nio.channels..", "java.nio.file..")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.lang.Thread")
        .allowEmptyShould(true)
        .check(CORE);
  }

  @Test
  void coreReadsNoSystemClock() {
    noClasses()
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.time.Clock")
        .allowEmptyShould(true)
        .check(CORE);
  }
}
